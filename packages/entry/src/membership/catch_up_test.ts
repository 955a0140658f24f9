import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { beforeEach, describe, expect, it } from "vitest";
import { CatchUp } from "./catch_up.ts";

type Handler = (message: never, sender: ports.peers.Sender) => void;

const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {} };
const SENDER = { memberId: "peer", incarnation: "one" };
const CONFIG: schema.config.Config = {
  ...schema.config.emptyConfig(),
  teams: { billing: { workspace: "shops" } },
  workspaces: { shops: { displayName: "" } },
};
const CHUNKS = policy.configChunks.splitConfig(CONFIG);

function headAt(revision: number, texts: readonly policy.configChunks.Chunk[]): schema.head.Head {
  const chunks = texts.map(({ digest, bytes }) => ({ digest, bytes }));
  return { ...schema.head.EMPTY_HEAD, revision, configRevision: revision, chunks };
}

describe("CatchUp", () => {
  let handlers: Map<string, Handler>;
  let sent: schema.peer.Message[];
  let current: ports.members.Snapshot;
  let nowMs: number;
  let assembler: policy.configAssembler.ConfigAssembler;
  let catchUp: CatchUp;

  beforeEach(() => {
    handlers = new Map();
    sent = [];
    nowMs = 0;
    current = { head: schema.head.EMPTY_HEAD, config: schema.config.emptyConfig() };
    assembler = new policy.configAssembler.ConfigAssembler();
    catchUp = new CatchUp({
      links: {
        send: (_memberId, message) => void sent.push(message),
        on: (type, handler) => void handlers.set(type, handler as Handler),
      },
      clock: { nowMs: () => nowMs, steadyMs: () => nowMs, wallMs: () => 0, after: () => () => {} },
      log: SILENT_LOG,
      assembler,
      current: () => current,
      adopt: (snapshot) => current = snapshot,
    });
  });

  function receive(message: schema.peer.CatchUpRequest | schema.peer.CatchUpAnswer): void {
    handlers.get(message.type)?.(message as never, SENDER);
  }

  const allChunks = CHUNKS.map(({ digest, text }) => ({ digest, text }));
  const garbage = policy.configChunks.digestOf("garbage");
  it.each([
    {
      name: "a complete answer",
      revision: 3,
      held: 1,
      chunks: allChunks,
      names: CHUNKS,
      adopts: true,
    },
    {
      name: "a lower revision",
      revision: 1,
      held: 1,
      chunks: allChunks,
      names: CHUNKS,
      adopts: false,
    },
    {
      name: "a chunk with another digest",
      revision: 3,
      held: 1,
      chunks: allChunks.map(({ digest }) => ({ digest, text: "other" })),
      names: CHUNKS,
      adopts: false,
    },
    {
      name: "a chunk that is not a configuration",
      revision: 3,
      held: 1,
      chunks: [{ digest: garbage, text: "garbage" }],
      names: [{ digest: garbage, bytes: 7, text: "garbage" }],
      adopts: false,
    },
  ])("adopts $name: $adopts", ({ revision, held, chunks, names, adopts }) => {
    current = { ...current, head: headAt(held, []) };
    receive({ type: "catchUpAnswer", head: headAt(revision, names), chunks });
    expect(current.head.revision).toBe(adopts ? revision : held);
    expect(current.config.teams).toEqual(adopts ? CONFIG.teams : {});
  });

  it("requests the remaining chunks after a partial answer", () => {
    const head = headAt(3, CHUNKS);
    catchUp.request("peer");
    receive({ type: "catchUpAnswer", head, chunks: allChunks.slice(0, 1) });
    expect(sent.at(-1)).toMatchObject({ heldDigests: [CHUNKS[0]?.digest] });
    receive({ type: "catchUpAnswer", head, chunks: allChunks.slice(1) });
    expect(current.config).toEqual(CONFIG);
  });

  it("sends only chunks that the requester lacks", () => {
    current = { head: headAt(3, CHUNKS), config: CONFIG };
    CHUNKS.forEach(({ digest, text }) => expect(assembler.add(digest, text).isOk()).toBe(true));
    receive({ type: "catchUpRequest", revision: 2, heldDigests: [CHUNKS[0]?.digest ?? ""] });
    expect(sent).toMatchObject([{ type: "catchUpAnswer", chunks: allChunks.slice(1) }]);
  });

  it("keeps one request in flight and sends the next after the answer timeout", () => {
    catchUp.request("peer");
    catchUp.request("other");
    expect(sent.length).toBe(1);
    nowMs = 1_000;
    catchUp.request("other");
    expect(sent.length).toBe(2);
  });
});
