import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { errAsync, okAsync } from "neverthrow";
import { describe, expect, it } from "vitest";
import { DrainingVmManager } from "./draining_vm_manager.ts";

const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {} };
const HEAD_POLL_MS = 1_000;
const STORE_UNAVAILABLE = new schema.errors.StoreUnavailableError("The store is unavailable");

type Get = ports.store.Store["get"];

/** Linked draining VM managers, each with its own store reads. */
class Cluster {
  nowMs = 0;
  sent = 0;
  readonly #handlers = new Map<string, Map<string, (message: never, sender: never) => void>>();

  createManager(memberId: string, get: Get): DrainingVmManager {
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
      clock: {
        nowMs: () => this.nowMs,
        steadyMs: () => this.nowMs,
        wallMs: () => 0,
        after: () => () => {},
      },
      log: SILENT_LOG,
      headPollMs: HEAD_POLL_MS,
    });
  }
}

function storeWith(vms: readonly string[], modRevision: number): Get {
  const operations = Object.fromEntries(vms.map((vm) => [vm, `${vm}.000000001`]));
  const stored = { key: "draining", value: JSON.stringify({ operations }), modRevision };
  return (_key, options) => okAsync(modRevision < (options?.minModRevision ?? 0) ? null : stored);
}

describe("DrainingVmManager", () => {
  it("adopts each change once", async () => {
    const manager = new Cluster().createManager("a", storeWith(["vm-1", "vm-2"], 7));
    let changes = 0;
    manager.onChange(() => changes += 1);
    expect([await manager.read(), await manager.read()]).toEqual([true, true]);
    expect([...manager.current().vms]).toEqual(["vm-1", "vm-2"]);
    expect(changes).toBe(1);
  });

  it.each<{ name: string; get: Get; isCounted: boolean }>([
    { name: "unavailable", get: () => errAsync(STORE_UNAVAILABLE), isCounted: false },
    {
      name: "holding an invalid record",
      get: () => okAsync({ key: "draining", value: "[]", modRevision: 9 }),
      isCounted: true,
    },
  ])("keeps its list when the store is $name", async ({ get, isCounted }) => {
    let answer = storeWith(["vm-1"], 7);
    const manager = new Cluster().createManager("a", (...args) => answer(...args));
    await manager.read();
    answer = get;
    expect(await manager.read()).toBe(isCounted);
    expect([...manager.current().vms]).toEqual(["vm-1"]);
  });

  it.each([
    { name: "has never read the store", readAtMs: null, reportedAtMs: 0, adopts: true },
    {
      name: "read the store over one and a half polls ago",
      readAtMs: 0,
      reportedAtMs: 1_501,
      adopts: true,
    },
    { name: "read the store recently", readAtMs: 0, reportedAtMs: 400, adopts: false },
  ])("adopts a peer's list if it $name: $adopts", async ({ readAtMs, reportedAtMs, adopts }) => {
    const cluster = new Cluster();
    const peer = cluster.createManager("peer", storeWith(["vm-1"], 7));
    await peer.read();
    const manager = cluster.createManager(
      "a",
      readAtMs === null ? () => errAsync(STORE_UNAVAILABLE) : storeWith([], 3),
    );
    await manager.read();
    cluster.nowMs = reportedAtMs;
    manager.receiveRevision("peer", peer.current().modRevision);
    expect(manager.current().vms.has("vm-1")).toBe(adopts);
    const { sent } = cluster;
    peer.receiveRevision("a", manager.current().modRevision);
    expect(cluster.sent).toBe(sent);
  });
});
