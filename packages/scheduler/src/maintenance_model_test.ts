/**
 * Maintenance waves in simulated time: the real engine against models of the store, the workers and the VMs,
 * while jobs run and owners come and go.
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
const REST_MS = 20_000;
const SEEDS = [11, 12, 13, 14];

const TROUBLES: readonly { readonly name: string; readonly trouble: FaultInjector }[] = [
  { name: "no trouble", trouble: () => {} },
  {
    name: "the owner is killed twice",
    trouble: (world, atMs) => {
      if (atMs === 3_000 || atMs === 9_000) {
        world.restartOwner();
      }
    },
  },
  {
    name: "orders to VMs have no answer while the owner is killed",
    trouble: (world, atMs) => {
      world.fleet.faults.lostShare = atMs > 1_000 && atMs < 8_000 ? 0.2 : 0;
      if (atMs === 4_000) {
        world.restartOwner();
      }
    },
  },
  {
    name: "the store turns the owner away for 5 s",
    trouble: (world, atMs) => {
      if (atMs === 3_000) {
        world.cutOwnerFromStore(5_000);
      }
    },
  },
  {
    name: "all nodes are killed at once",
    trouble: (world, atMs) => {
      if (atMs === 5_000) {
        world.restartAllNodes();
      }
    },
  },
];

useSimulatedTime();

test.each(crossWithSeeds(TROUBLES, SEEDS))(
  "$name, seed $seed: each VM of a wave has its maintenance in time and within the bound",
  async ({ seed, trouble }) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    const startedAtMs = Date.now();
    world.startWave(WAVE);
    let toldCompleteAfter: number | undefined;
    for (let atMs = 0; atMs < TRAFFIC_MS + REST_MS; atMs += STEP_MS) {
      trouble(world, atMs);
      if (atMs < TRAFFIC_MS && world.random.chance(0.6)) {
        void world.submit();
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
      if (world.waveState(1) === "complete") {
        toldCompleteAfter ??= world.fleet.maintainedVms(1).size;
      }
    }
    world.nodes.forEach((node) => node.kill());
    const begun = world.fleet.maintainedVms(1);
    const late = [...begun].filter(([, atMs]) => atMs - startedAtMs > WAVE.durationMs);
    expect({
      violations: world.witness.violations,
      maintained: [...begun.keys()].sort(),
      late,
      toldCompleteAfter,
    }).toEqual({
      violations: [],
      maintained: WAVE.vms,
      late: [],
      toldCompleteAfter: WAVE.vms.length,
    });
    expect(world.fleet.mostDownAtOnce).toBeLessThanOrEqual(WAVE.maxConcurrent);
  },
);
