import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as v from "valibot";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SystemClock } from "./clock.ts";
import { SILENT_LOG } from "./log.ts";
import {
  PlatformStore,
  type PlatformStoreOptions,
  type StoreCall,
  StoreRefusedError,
} from "./platform_store.ts";

const TIMEOUT_MS = 300;

let platform: testing.platformServer.PlatformServer;
const stores: PlatformStore[] = [];

function makeStore(
  settings: object = {},
  { clientId = "entry-1", random = () => 0, onCall }: Partial<PlatformStoreOptions> = {},
): PlatformStore {
  const store = new PlatformStore({
    settings: v.parse(schema.settings.storeSchema, {
      url: platform.url,
      timeoutMs: TIMEOUT_MS,
      ...settings,
    }),
    clock: new SystemClock(),
    log: SILENT_LOG,
    clientId,
    random,
    onCall,
  });
  stores.push(store);
  return store;
}

function setFaults(faults: object): void {
  platform.store.faults.set(v.parse(testing.platformFaults.faultsSchema, faults));
}

const PUT = { kind: "put", key: "a/1", value: "one" } as const;

beforeEach(async () => {
  platform = await testing.platformServer.startPlatform("127.0.0.1:0");
});

afterEach(async () => {
  await Promise.all(stores.splice(0).map((store) => store.close()));
  await platform.close();
});

describe("PlatformStore", () => {
  it("reads, lists, compares and deletes", async () => {
    const store = makeStore();
    const created = await store.transact([{ key: "a/1", modRevision: 0 }], [PUT]);
    const { succeeded, storeRevision } = created._unsafeUnwrap();
    expect(succeeded).toBe(true);
    const stored = (await store.get("a/1"))._unsafeUnwrap();
    expect(stored).toEqual({ key: "a/1", value: "one", modRevision: storeRevision });
    const again = await store.transact([{ key: "a/1", modRevision: 0 }], [PUT]);
    expect(again._unsafeUnwrap().succeeded).toBe(false);
    const [unchanged, changed] = [storeRevision + 1, storeRevision];
    expect((await store.get("a/1", { minModRevision: unchanged }))._unsafeUnwrap()).toBeNull();
    expect((await store.get("a/1", { minModRevision: changed }))._unsafeUnwrap()).not.toBeNull();
    const goneBack = { minModRevision: storeRevision + 100 };
    expect((await store.get("a/1", goneBack))._unsafeUnwrap()).not.toBeNull();
    await store.transact([], [{ ...PUT, key: "a/2" }, { ...PUT, key: "b" }]);
    const listed = (await store.list("a/"))._unsafeUnwrap();
    expect(listed.map(({ key }) => key)).toEqual(["a/1", "a/2"]);
    await store.transact([], [{ kind: "delete", key: "a/1" }]);
    expect((await store.get("a/1"))._unsafeUnwrap()).toBeNull();
  });

  it("deletes the keys of a lease that is revoked or expires", async () => {
    const store = makeStore();
    const revoked = (await store.grantLease(60))._unsafeUnwrap();
    const lapsing = (await store.grantLease(1))._unsafeUnwrap();
    await store.transact([], [{ ...PUT, leaseId: revoked }]);
    await store.transact([], [{ ...PUT, key: "a/2", leaseId: lapsing }]);
    expect((await store.keepLeaseAlive(revoked))._unsafeUnwrap()).toBe(true);
    await store.revokeLease(revoked);
    expect((await store.get("a/1"))._unsafeUnwrap()).toBeNull();
    expect((await store.keepLeaseAlive(revoked))._unsafeUnwrap()).toBe(false);
    await vi.waitFor(
      async () => expect((await store.get("a/2"))._unsafeUnwrap()).toBeNull(),
      { timeout: 10_000 },
    );
  });

  it.each([
    { title: "refused connections", faults: { rules: [{ outage: "refused" }] } },
    { title: "no responses", faults: { rules: [{ outage: "hung" }] } },
    { title: "errors", faults: { rules: [{ outage: "error" }] } },
    { title: "responses slower than the timeout", faults: { rules: [{ delayMs: 2_000 }] } },
    { title: "a rate limit", faults: { readsPerSecond: 0 } },
  ])("fails with a typed error in an outage with $title, and recovers", async ({ faults }) => {
    const store = makeStore();
    setFaults(faults);
    const failed = await store.get("a/1");
    expect(failed._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.StoreUnavailableError);
    setFaults({});
    expect((await store.get("a/1")).isOk()).toBe(true);
  });

  it("completes the first call after a long outage despite the maximum backoff", async () => {
    const store = makeStore({}, { random: () => 1 });
    setFaults({ rules: [{ outage: "error" }] });
    for (let call = 0; call < 6; call += 1) {
      const burst = await Promise.all([store.get("a"), store.get("b"), store.get("c")]);
      expect(burst.every((failed) => failed.isErr())).toBe(true);
    }
    setFaults({});
    expect((await store.get("a")).isOk()).toBe(true);
  });

  it("fails a write that took effect if its response is lost", async () => {
    const store = makeStore();
    setFaults({ seed: 7, rules: [{ kinds: ["write"], loseAnswerProbability: 1 }] });
    expect((await store.transact([], [PUT])).isErr()).toBe(true);
    expect((await store.get("a/1"))._unsafeUnwrap()?.value).toBe("one");
  });

  it("fails only for the client affected by an outage", async () => {
    setFaults({ rules: [{ clients: ["entry-2"], outage: "refused" }] });
    expect((await makeStore().get("a")).isOk()).toBe(true);
    expect((await makeStore({}, { clientId: "entry-2" }).get("a")).isErr()).toBe(true);
  });

  it("reports each call to onCall", async () => {
    const calls: StoreCall[] = [];
    const store = makeStore({}, { onCall: (call) => calls.push(call) });
    await store.get("a");
    setFaults({ rules: [{ outage: "error" }] });
    await store.transact([], [PUT]);
    expect(calls).toMatchObject([
      { path: "/v3/kv/range", kind: "read", isAnswered: true },
      { path: "/v3/kv/txn", kind: "write", isAnswered: false },
    ]);
  });

  it("rejects calls beyond its rate limit", async () => {
    const store = makeStore({ readsPerSecond: 1, timeoutMs: TIMEOUT_MS });
    expect((await store.get("a")).isOk()).toBe(true);
    const over = await store.get("a");
    expect(over._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.StoreBudgetError);
    expect(platform.store.counters().byKind.read).toBe(1);
  });

  it("distinguishes a refused value from an outage", async () => {
    const value = "x".repeat(1_048_577);
    const refused = await makeStore({ timeoutMs: 5_000 }).transact([], [{ ...PUT, value }]);
    expect(refused._unsafeUnwrapErr()).toBeInstanceOf(StoreRefusedError);
  });

  it("watches a prefix and reconnects after an outage", async () => {
    const store = makeStore();
    let calls = 0;
    const stop = store.watch("a/", () => calls += 1);
    await vi.waitFor(() => expect(calls).toBe(1));
    await store.transact([], [{ ...PUT, key: "b" }, PUT]);
    await vi.waitFor(() => expect(calls).toBe(2));
    const post = (faults: object) =>
      fetch(`${platform.url}/control/faults`, { method: "POST", body: JSON.stringify(faults) });
    await post({ rules: [{ kinds: ["watch"], outage: "refused" }] });
    await vi.waitFor(() => expect(platform.store.counters().openWatches).toBe(0));
    await post({});
    await vi.waitFor(() => expect(calls).toBeGreaterThanOrEqual(3), { timeout: 20_000 });
    stop();
    await vi.waitFor(() => expect(platform.store.counters().openWatches).toBe(0));
  });
});
