/**
 * Measures the bytes and processor time of one steward by number of VMs, idle and while VM records
 * change.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as v from "valibot";
import * as processUsage from "../capacity/process_usage.ts";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";

const VM_COUNTS = [740, 2_220, 7_400];
const RECORDS_PER_WRITE = 100;
const PHASE_MS = 10_000;
const SETTLE_MS = 3_000;
const CHANGE_INTERVAL_MS = 1_000;
const BYTES_PER_KB = 1_000;
const CALLS_PER_SECOND = 1_000;
const POOL = "spare";

type Store = adapters.platformStore.PlatformStore;

export const stewardReadsExperiment: experiment.Experiment = {
  description:
    "Bytes and processor time of a steward at 740 to 7,400 VMs, idle and at one change/s",
  runSeed: async ({ progress }) => {
    const figures: experiment.Figure[] = [];
    for (const vmCount of VM_COUNTS) {
      progress(`${vmCount} VMs`);
      figures.push(...await measure(vmCount));
    }
    return { figures };
  },
};

function measure(vmCount: number): Promise<readonly experiment.Figure[]> {
  return experimentSystem.withTestSystem({ entryCount: 1 }, async (system) => {
    await experimentSystem.applyToAllEntries(system, { pools: { [POOL]: { spare: true } } });
    const vms = Array.from({ length: vmCount }, (_, index) => ({
      vm: `vm-${index}`,
      availabilityZone: `zone-${index % 8}`,
      rack: `rack-${index >> 2}`,
    }));
    await system.setFleet(vms);
    const store = openStore(system);
    await writeRecords(store, vms);
    const steward = await system.startSteward("steward-1", { log: { level: "warn" } });
    await pause(SETTLE_MS);
    const idle = await processUsage.measureRates([steward], () => pause(PHASE_MS));
    const busy = await processUsage.measureRates([steward], () => changeRecords(store, vms));
    await store.close();
    return [
      ...figuresOf(`${vmCount} VMs, idle`, idle),
      ...figuresOf(`${vmCount} VMs, one change a second`, busy),
    ];
  });
}

function figuresOf(name: string, rates: processUsage.UsageRates): experiment.Figure[] {
  return [
    { name: `${name}: moved`, unit: "KB/s", value: rates.bytesPerSecond / BYTES_PER_KB },
    { name: `${name}: processor`, unit: "% of a core", value: rates.cpuPercent },
  ];
}

function openStore(system: testing.testSystem.TestSystem): Store {
  return new adapters.platformStore.PlatformStore({
    settings: v.parse(schema.settings.storeSchema, {
      url: system.platformUrl,
      readsPerSecond: CALLS_PER_SECOND,
      writesPerSecond: CALLS_PER_SECOND,
    }),
    clock: new adapters.clock.SystemClock(),
    log: adapters.log.SILENT_LOG,
  });
}

async function writeRecords(
  store: Store,
  vms: readonly testing.fleetModel.VmSetup[],
): Promise<void> {
  for (let from = 0; from < vms.length; from += RECORDS_PER_WRITE) {
    const group = vms.slice(from, from + RECORDS_PER_WRITE);
    (await store.transact([], group.map((vm) => recordWrite(vm, "adopted"))))._unsafeUnwrap();
  }
}

/** Changes one record per interval, as operations do. */
async function changeRecords(
  store: Store,
  vms: readonly testing.fleetModel.VmSetup[],
): Promise<void> {
  for (let index = 0; index < PHASE_MS / CHANGE_INTERVAL_MS; index += 1) {
    (await store.transact([], [recordWrite(vms[index]!, "changed")]))._unsafeUnwrap();
    await pause(CHANGE_INTERVAL_MS);
  }
}

function recordWrite(place: testing.fleetModel.VmSetup, text: string) {
  const history = Array.from({ length: 3 }, () => ({ atMs: 0, text }));
  const value = JSON.stringify({ ...place, pool: POOL, operationCount: 0, history });
  return { kind: "put", key: schema.storeKeys.vmKey(place.vm), value } as const;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
