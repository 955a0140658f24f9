/**
 * The engine in simulated time against models of the store, the workers and the VMs, with owners that die,
 * are cut off, or are replaced while orders and answers are late or lost. A witness sees every start.
 *
 * @module
 */
import { expect, test, vi } from "vitest";
import * as storeKeys from "./store_keys.ts";
import { crossWithSeeds, type FaultInjector, useSimulatedTime, World } from "./test/model_world.ts";

const TRAFFIC_MS = 12_000;
const REST_MS = 30_000;
const SEEDS = [1, 2, 3, 4];

const STEP_MS = 250;

function at(time: number, atMs: number): boolean {
  return atMs >= time && atMs < time + STEP_MS;
}

const TROUBLES: readonly { readonly name: string; readonly trouble: FaultInjector }[] = [
  { name: "no trouble", trouble: () => {} },
  {
    name: "the owner is killed three times",
    trouble: (world, atMs) => {
      if (at(2_000, atMs) || at(6_000, atMs) || at(9_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "orders are lost and late while the owner is killed",
    trouble: (world, atMs) => {
      world.fleet.faults.lostShare = atMs < TRAFFIC_MS ? 0.05 : 0;
      world.fleet.faults.lateShare = atMs < TRAFFIC_MS ? 0.05 : 0;
      if (at(4_000, atMs) || at(8_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "the store turns the owner away for 6 s, twice",
    trouble: (world, atMs) => {
      if (at(2_000, atMs) || at(9_000, atMs)) {
        world.cutOwnerFromStore(6_000);
      }
    },
  },
  {
    name: "the store is out for 5 s, and the owner is killed as it returns",
    trouble: (world, atMs) => {
      if (at(3_000, atMs)) {
        world.store.faults.cut.add("all");
      } else if (at(8_000, atMs)) {
        world.store.faults.cut.clear();
        world.restartOwner();
      }
    },
  },
  {
    name: "answers of the store are lost and writes happen late while the owner changes",
    trouble: (world, atMs) => {
      world.store.faults.lostShare = atMs > 1_000 && atMs < TRAFFIC_MS ? 0.3 : 0;
      world.store.faults.isLate = true;
      if (at(5_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "workers crash, one after another, while the owner is killed",
    trouble: (world, atMs) => {
      if (atMs % 2_000 === 0 && atMs < TRAFFIC_MS) {
        world.fleet.crash(`vm-${(atMs / 2_000) % 6}`, 3_000);
      }
      if (at(5_250, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "a worker is cut off and runs on while the owner is killed",
    trouble: (world, atMs) => {
      if (at(3_000, atMs)) {
        const worker = world.fleet.workerOf("vm-0") ?? world.fleet.workerOf("vm-3");
        world.fleet.faults.cut.add(`*>${worker}`);
        world.restartOwner();
        setTimeout(() => world.fleet.faults.cut.clear(), 9_000);
      }
    },
  },
  {
    name: "all nodes are killed at once",
    trouble: (world, atMs) => {
      if (at(6_000, atMs)) {
        world.restartAllNodes();
      }
    },
  },
  {
    name: "the store drops its history while the owner gives the role up",
    trouble: (world, atMs) => {
      if (at(4_000, atMs) || at(7_000, atMs)) {
        world.store.dropHistory();
        void world.owner?.release();
      }
    },
  },
];

useSimulatedTime();

test.each(crossWithSeeds(TROUBLES, SEEDS))(
  "$name, seed $seed: every promise holds and all jobs end",
  async ({ seed, trouble }) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    for (let atMs = 0; atMs < TRAFFIC_MS + REST_MS; atMs += STEP_MS) {
      trouble(world, atMs);
      if (atMs < TRAFFIC_MS && world.random.chance(0.8)) {
        void world.submit();
      }
      if (atMs < TRAFFIC_MS && world.random.chance(0.03) && world.jobIds.length > 0) {
        void world.cancel(world.jobIds.at(-1)!);
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
      for (const jobId of world.jobIds) {
        if (world.storedState(jobId) === "complete") {
          world.witness.shownComplete(jobId);
        }
      }
    }
    const open = world.jobIds.filter((jobId) =>
      !["complete", "failed", "cancelled"].includes(world.storedState(jobId))
    );
    world.nodes.forEach((node) => node.kill());
    expect({ violations: world.witness.violations, open }).toEqual({ violations: [], open: [] });
    expect(world.witness.startCount).toBeGreaterThan(world.jobIds.length / 2);
  },
);

/** Ends have to be acknowledged within this time on every known site. */
const ACKNOWLEDGEMENT_BOUND_MS = 4_000;

test.each(SEEDS)(
  "ends are acknowledged in time while jobs keep coming and the store is slow, seed %s",
  async (seed) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    let oldestEndMs = 0;
    for (let atMs = 0; atMs < TRAFFIC_MS + REST_MS; atMs += STEP_MS) {
      world.store.faults.slowMs = atMs < TRAFFIC_MS ? 240 : 0;
      for (let count = 0; atMs < TRAFFIC_MS && count < 4; count++) {
        void world.submit();
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
      oldestEndMs = Math.max(oldestEndMs, world.fleet.oldestEndMs());
    }
    world.nodes.forEach((node) => node.kill());
    expect(world.witness.violations).toEqual([]);
    expect(oldestEndMs).toBeLessThan(ACKNOWLEDGEMENT_BOUND_MS);
  },
);

test("jobs that are over are stored small, and are not run again for a new owner", async () => {
  const world = new World(5);
  await vi.advanceTimersByTimeAsync(2_000);
  for (let count = 0; count < 10; count++) {
    void world.submit();
  }
  await vi.advanceTimersByTimeAsync(20_000);
  const jobIds = [...world.jobIds];
  const stored = jobIds.map((jobId) => world.store.read(storeKeys.jobKey(jobId)));
  expect(jobIds).toHaveLength(10);
  expect(new Set(stored)).toEqual(new Set([JSON.stringify({ finalState: "complete" })]));
  const startCount = world.witness.startCount;
  world.owner?.kill();
  await vi.advanceTimersByTimeAsync(5_000);
  await Promise.all([
    ...jobIds.map((jobId) => world.resubmit(jobId)),
    vi.advanceTimersByTimeAsync(10_000),
  ]);
  const owner = world.owner?.term;
  expect(jobIds.map((jobId) => owner?.scheduler.retiredState(jobId)))
    .toEqual(jobIds.map(() => "complete"));
  expect(world.witness.startCount).toBe(startCount);
  world.nodes.forEach((node) => node.kill());
});

test("the strongest node takes the ownership over", async () => {
  const world = new World(6, [0.3, 0.9, 0.4, 0.7]);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(world.owner?.name).toBe("n2");
  world.owner?.kill();
  await vi.advanceTimersByTimeAsync(4_000);
  expect(world.owner?.name).toBe("n4");
  world.nodes.forEach((node) => node.kill());
});
