import { describe, expect, it } from "vitest";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as ports from "@jackdawlink/ports";
import { FleetState } from "./fleet_state.ts";

const VM_COUNT = 20;

function put(vm: string, pool = "boards"): ports.store.Write {
  const place = { vm, pool, availabilityZone: "zone-0", rack: "rack-0" };
  const value = JSON.stringify({ ...place, operationCount: 0, history: [] });
  return { kind: "put", key: schema.storeKeys.vmKey(vm), value };
}

function remove(vm: string): ports.store.Write {
  return { kind: "delete", key: schema.storeKeys.vmKey(vm) };
}

describe("FleetState.read", () => {
  it.each([
    { name: "nothing", writes: [], read: [0] },
    { name: "one record", writes: [put("vm-3", "spare")], read: [1] },
    { name: "a new record", writes: [put("vm-new")], read: [1] },
    { name: "a deleted record", writes: [remove("vm-3")], read: [0, VM_COUNT - 1] },
    {
      name: "a record deleted and another added",
      writes: [remove("vm-3"), put("vm-new")],
      read: [1, VM_COUNT],
    },
    {
      name: "a record deleted and added again",
      writes: [remove("vm-3"), put("vm-3", "spare")],
      read: [1],
    },
    {
      name: "a record that no longer fits its schema",
      writes: [{ kind: "put", key: schema.storeKeys.vmKey("vm-3"), value: "{" } as const],
      read: [1],
    },
  ])("applies the change of $name", async ({ writes, read }) => {
    const store = new testing.memoryStore.MemoryStore();
    const names = Array.from({ length: VM_COUNT }, (_, index) => `vm-${index}`);
    await store.transact([], names.map((vm) => put(vm)));
    const counts: number[] = [];
    const counting = new Proxy(store, {
      get: (object, name) =>
        name !== "listChanges"
          ? Reflect.get(object, name).bind(object)
          : (prefix: string, minModRevision: number) =>
            object.listChanges(prefix, minModRevision).map((changes) => {
              counts.push(changes.values.length);
              return changes;
            }),
    });
    const incremental = new FleetState(counting, adapters.log.SILENT_LOG);
    (await incremental.read())._unsafeUnwrap();
    counts.length = 0;
    await store.transact([], writes);
    (await incremental.read())._unsafeUnwrap();
    expect(counts).toEqual(read);
    const full = new FleetState(store, adapters.log.SILENT_LOG);
    (await full.read())._unsafeUnwrap();
    expect(new Map([...incremental.vms].sort())).toEqual(new Map([...full.vms].sort()));
  });
});
