import * as schema from "@jackdawlink/schema";
import * as selfsigned from "selfsigned";
import { afterEach, beforeAll, describe, expect, it, vi } from "vitest";
import { WebSocket } from "ws";
import { SystemClock } from "./clock.ts";
import { SILENT_LOG } from "./log.ts";
import * as codec from "./peer_codec.ts";
import { PeerLinkMesh } from "./peer_links.ts";
import { MAX_BUFFERED_BYTES } from "./peer_link.ts";
import type { PeerTlsMaterial } from "./peer_tls.ts";

const WAIT_OPTIONS = { timeout: 10_000, interval: 10 };
const ANY_PORT = "127.0.0.1:0";

const HEARTBEAT: schema.peer.Heartbeat = {
  type: "heartbeat",
  incarnation: "one",
  revision: 1,
  sentAtMs: 1,
  echoSentAtMs: null,
  echoIncarnation: "",
  storeReadAgeMs: null,
  unheardMemberIds: [],
  draining: false,
};

const HELLO = { type: "hello", memberId: "left", incarnation: "one", protocolVersion: 2 };

interface Node {
  readonly mesh: PeerLinkMesh;
  readonly address: string;
  readonly received: string[];
  readonly events: string[];
}

const nodes: Node[] = [];

async function startNode(
  memberId: string,
  options: { tls?: PeerTlsMaterial; listenOn?: string; refusedTypes?: string[] } = {},
): Promise<Node> {
  const received: string[] = [];
  const events: string[] = [];
  const mesh = new PeerLinkMesh({
    memberId,
    tls: options.tls ?? null,
    clock: new SystemClock(),
    log: SILENT_LOG,
    isAllowed: (_sender, type) => !(options.refusedTypes ?? []).includes(type),
    onEvent: (event) => events.push(event),
  });
  mesh.on("heartbeat", (_heartbeat, sender) => received.push(sender.memberId));
  const address = (await mesh.listen(options.listenOn ?? ANY_PORT))._unsafeUnwrap();
  mesh.setIdentity({ incarnation: `${memberId}-1`, peerAddress: address });
  const node = { mesh, address, received, events };
  nodes.push(node);
  return node;
}

/** Sends heartbeats until one is received. */
async function expectArrival(from: Node, to: { node: Node; memberId: string }): Promise<void> {
  await vi.waitFor(() => {
    from.mesh.send(to.memberId, HEARTBEAT);
    expect(to.node.received.length).toBeGreaterThan(0);
  }, WAIT_OPTIONS);
}

afterEach(() => nodes.splice(0).forEach(({ mesh }) => mesh.close()));

describe("PeerLinkMesh", () => {
  it("connects to seeds, and back to an unlisted peer while its link is open", async () => {
    const left = await startNode("left");
    const right = await startNode("right");
    left.mesh.setPeers([], [right.address]);
    await expectArrival(right, { node: left, memberId: "left" });
    await expectArrival(left, { node: right, memberId: "right" });
    left.mesh.close();
    await vi.waitFor(() => expect(right.mesh.linkedMemberIds()).toEqual([]), WAIT_OPTIONS);
  });

  it("reconnects after a restart of the peer", async () => {
    const left = await startNode("left");
    const right = await startNode("right");
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await expectArrival(left, { node: right, memberId: "right" });
    right.mesh.close();
    await vi.waitFor(() => expect(left.mesh.linkedMemberIds()).toEqual([]), WAIT_OPTIONS);
    const returned = await startNode("right", { listenOn: right.address });
    await expectArrival(left, { node: returned, memberId: "right" });
  });

  it("rejects message types that the sender is not allowed to send", async () => {
    const left = await startNode("left");
    const right = await startNode("right", { refusedTypes: ["heartbeat"] });
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await vi.waitFor(() => {
      left.mesh.send("right", HEARTBEAT);
      expect(right.events).toContain("notAllowed");
    }, WAIT_OPTIONS);
    expect(right.received).toEqual([]);
  });

  it("drops messages to a slow peer when the send buffer is full", async () => {
    const left = await startNode("left");
    const right = await startNode("right");
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await expectArrival(left, { node: right, memberId: "right" });
    const echoIncarnation = "x".repeat(MAX_BUFFERED_BYTES / 4);
    for (let count = 0; count < 100; count += 1) {
      left.mesh.send("right", { ...HEARTBEAT, echoIncarnation });
    }
    expect(left.events.filter((event) => event === "dropped").length).toBeGreaterThan(50);
  });

  it.each([
    { name: "bytes that are not msgpack", bytes: Uint8Array.of(0xc1), event: "badMessage" },
    {
      name: "an unknown message type",
      bytes: codec.encode({ type: "nonsense" } as never),
      event: "badMessage",
    },
    {
      name: "a hello without an address",
      bytes: codec.encode(HELLO as never),
      event: "badMessage",
    },
    { name: "a message before the hello", bytes: codec.encode(HEARTBEAT), event: "badHello" },
  ])("reports $name and closes the link", async ({ bytes, event }) => {
    const right = await startNode("right");
    const socket = new WebSocket(`ws://${right.address}/`);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.once("open", () => socket.send(bytes));
    await closed;
    expect(right.events).toEqual([event]);
    expect(right.received).toEqual([]);
  });
});

describe("PeerLinkMesh with TLS", () => {
  let authority: PeerTlsMaterial;
  let otherAuthority: PeerTlsMaterial;

  async function certificateOf(name: string, ca?: PeerTlsMaterial): Promise<PeerTlsMaterial> {
    const made = await selfsigned.generate([{ name: "commonName", value: name }], {
      keySize: 2048,
      algorithm: "sha256",
      ...(ca === undefined
        ? { extensions: [{ name: "basicConstraints", cA: true, critical: true }] }
        : { ca: { key: ca.key, cert: ca.cert } }),
    });
    return { cert: made.cert, key: made.private, ca: ca?.cert ?? made.cert };
  }

  beforeAll(async () => {
    authority = await certificateOf("authority");
    otherAuthority = await certificateOf("authority");
  });

  it("links members whose certificates the authority signed", async () => {
    const left = await startNode("left", { tls: await certificateOf("left", authority) });
    const right = await startNode("right", { tls: await certificateOf("right", authority) });
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await expectArrival(left, { node: right, memberId: "right" });
    await expectArrival(right, { node: left, memberId: "left" });
  });

  it("rejects a hello whose member id differs from the certificate", async () => {
    const right = await startNode("right", { tls: await certificateOf("right", authority) });
    const left = await startNode("left", { tls: await certificateOf("other", authority) });
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await vi.waitFor(() => expect(right.events).toContain("badHello"), WAIT_OPTIONS);
    expect(right.received).toEqual([]);
  });

  it("does not connect to a peer whose certificate names another member", async () => {
    const right = await startNode("right", { tls: await certificateOf("other", authority) });
    const left = await startNode("left", { tls: await certificateOf("left", authority) });
    left.mesh.setPeers([{ memberId: "right", address: right.address }], []);
    await vi.waitFor(() => expect(right.events).toContain("badHello"), WAIT_OPTIONS);
    expect(left.mesh.linkedMemberIds()).toEqual([]);
  });

  it.each(["another authority", "no certificate"])("rejects a peer with %s", async (kind) => {
    const right = await startNode("right", { tls: await certificateOf("right", authority) });
    const own = kind === "no certificate" ? {} : await certificateOf("left", otherAuthority);
    const socket = new WebSocket(`wss://${right.address}/`, {
      ...own,
      ca: authority.cert,
      rejectUnauthorized: false,
    });
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => undefined);
    socket.on("open", () => {
      socket.send(codec.encode({ ...HELLO, peerAddress: right.address } as never));
      socket.send(codec.encode(HEARTBEAT));
    });
    await closed;
    expect(right.received).toEqual([]);
    await vi.waitFor(() => expect(right.events).toContain("badHello"), WAIT_OPTIONS);
  });
});
