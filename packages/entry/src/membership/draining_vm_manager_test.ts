import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { errAsync, okAsync } from "neverthrow";
import { describe, expect, it } from "vitest";
import { DrainingVmManager } from "./draining_vm_manager.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const HEAD_POLL_MS = 1_000;
const OUT = new schema.errors.StoreUnavailableError("The store is out");

type Get = ports.store.Store["get"];

/** Some processes, each with its own reads of the store, linked to one another. */
class World {
  nowMs = 0;
  sent = 0;
  readonly #handlers = new Map<string, Map<string, (message: never, sender: never) => void>>();

  process(memberId: string, get: Get): DrainingVmManager {
    const own = new Map<string, (message: never, sender: never) => void>();
    this.#handlers.set(memberId, own);
    return new DrainingVmManager({
      store: { get } as ports.store.Store,
      links: {
        send: (to, message) => {
          this.sent += 1;
          this.#handlers.get(to)?.get(message.type)?.(message as never, { memberId } as never);
        },
        on: (type, handler) => void own.set(type, handler as never),
      },
      clock: { nowMs: () => this.nowMs, wallMs: () => 0, after: () => () => {} },
      log: SILENT,
      headPollMs: HEAD_POLL_MS,
    });
  }
}

function storing(vms: readonly string[], modRevision: number): Get {
  const operations = Object.fromEntries(vms.map((vm) => [vm, `${vm}.000000001`]));
  const stored = { key: "draining", value: JSON.stringify({ operations }), modRevision };
  return (_key, options) => okAsync(modRevision < (options?.minModRevision ?? 0) ? null : stored);
}

describe("DrainingVmManager", () => {
  it("takes each change over once", async () => {
    const manager = new World().process("a", storing(["vm-1", "vm-2"], 7));
    let changes = 0;
    manager.onChange(() => changes += 1);
    expect([await manager.read(), await manager.read()]).toEqual([true, true]);
    expect([...manager.current().vms]).toEqual(["vm-1", "vm-2"]);
    expect(changes).toBe(1);
  });

  it.each<{ name: string; get: Get; counts: boolean }>([
    { name: "out", get: () => errAsync(OUT), counts: false },
    {
      name: "holding a record that does not fit",
      get: () => okAsync({ key: "draining", value: "[]", modRevision: 9 }),
      counts: true,
    },
  ])("keeps its list with the store $name", async ({ get, counts }) => {
    let answer = storing(["vm-1"], 7);
    const manager = new World().process("a", (...args) => answer(...args));
    await manager.read();
    answer = get;
    expect(await manager.read()).toBe(counts);
    expect([...manager.current().vms]).toEqual(["vm-1"]);
  });

  it.each([
    { name: "never read the store", readAtMs: null, heardAtMs: 0, takes: true },
    { name: "read it one and a half polls ago", readAtMs: 0, heardAtMs: 1_501, takes: true },
    { name: "read it just now", readAtMs: 0, heardAtMs: 400, takes: false },
  ])("follows a peer where it $name", async ({ readAtMs, heardAtMs, takes }) => {
    const world = new World();
    const peer = world.process("peer", storing(["vm-1"], 7));
    await peer.read();
    const manager = world.process("a", readAtMs === null ? () => errAsync(OUT) : storing([], 3));
    await manager.read();
    world.nowMs = heardAtMs;
    manager.receiveRevision("peer", peer.current().modRevision);
    expect(manager.current().vms.has("vm-1")).toBe(takes);
    const { sent } = world;
    peer.receiveRevision("a", manager.current().modRevision);
    expect(world.sent).toBe(sent);
  });
});
