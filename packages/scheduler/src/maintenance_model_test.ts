/**
 * Runs maintenance waves in simulated time: the real scheduler against models of the store, the workers and
 * the VMs, while jobs run and owners fail.
 *
 * @module
 */
import { expect, test, vi } from "vitest";
import { crossWithSeeds, type FaultInjector, useSimulatedTime, World } from "./test/model_world.ts";

const WAVE = {
  wave: 1,
  vms: ["vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-6"],
  durationMs: 25_000,
  maxConcurrent: 2,
};
const STEP_MS = 250;
const TRAFFIC_MS = 20_000;
const SETTLE_MS = 20_000;
const SEEDS = [11, 12, 13, 14];

const SCENARIOS: readonly { readonly name: string; readonly injectFaults: FaultInjector }[] = [
  { name: "without faults", injectFaults: () => {} },
  {
    name: "the owner is killed twice",
    injectFaults: (world, atMs) => {
      if (atMs === 3_000 || atMs === 9_000) {
        world.restartOwner();
      }
    },
  },
  {
    name: "VM orders get no response while the owner is killed",
    injectFaults: (world, atMs) => {
      world.fleet.faults.answerLossProbability = atMs > 1_000 && atMs < 8_000 ? 0.2 : 0;
      if (atMs === 4_000) {
        world.restartOwner();
      }
    },
  },
  {
    name: "the store refuses the owner's requests for 5 s",
    injectFaults: (world, atMs) => {
      if (atMs === 3_000) {
        world.cutOwnerFromStore(5_000);
      }
    },
  },
  {
    name: "all wall clocks jump again and again while VM orders get no response",
    injectFaults: (world, atMs) => {
      world.fleet.faults.answerLossProbability = atMs > 1_000 && atMs < 8_000 ? 0.2 : 0;
      if (atMs % 750 === 0) {
        world.jumpWallClocks();
      }
      if (atMs === 4_000) {
        world.restartOwner();
      }
    },
  },
  {
    name: "all nodes are killed at once",
    injectFaults: (world, atMs) => {
      if (atMs === 5_000) {
        world.restartAllNodes();
      }
    },
  },
];

useSimulatedTime();

test.each(crossWithSeeds(SCENARIOS, SEEDS))(
  "$name, seed $seed: maintains each VM of a wave in time, within the limit of concurrent VMs",
  async ({ seed, injectFaults }) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    const startedAtMs = Date.now();
    world.startWave(WAVE);
    let maintainedAtCompletion: number | undefined;
    for (let atMs = 0; atMs < TRAFFIC_MS + SETTLE_MS; atMs += STEP_MS) {
      injectFaults(world, atMs);
      if (atMs < TRAFFIC_MS && world.random.chance(0.6)) {
        void world.submit();
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
      if (world.waveState(1) === "complete") {
        maintainedAtCompletion ??= world.fleet.maintenanceStarts(1).size;
      }
    }
    world.nodes.forEach((node) => node.kill());
    const begun = world.fleet.maintenanceStarts(1);
    const late = [...begun].filter(([, atMs]) => atMs - startedAtMs > WAVE.durationMs);
    expect({
      violations: world.witness.violations,
      maintained: [...begun.keys()].sort(),
      late,
      maintainedAtCompletion,
    }).toEqual({
      violations: [],
      maintained: WAVE.vms,
      late: [],
      maintainedAtCompletion: WAVE.vms.length,
    });
    expect(world.fleet.maxVmsInMaintenance).toBeLessThanOrEqual(WAVE.maxConcurrent);
  },
);
