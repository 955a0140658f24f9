/**
 * Runs the scheduler in simulated time while the capacity of workers shrinks and grows, and news of it is
 * delayed by faults. A witness judges each start by the capacity that the owner has to know of.
 *
 * @module
 */
import { expect, test, vi } from "vitest";
import {
  crossWithSeeds,
  type FaultInjector,
  isAt,
  STEP_MS,
  useSimulatedTime,
  World,
} from "./test/model_world.ts";

const TRAFFIC_MS = 20_000;
/** The backlog takes 36 s or more of the workspace's limit of 60 cores, most of it after the traffic. */
const SETTLE_MS = 60_000;
const SEEDS = [1, 2, 3, 4];
const FULL = { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 };
/** The shares of the full capacity to which a worker shrinks or grows. */
const SHARES = [0, 0.1, 0.25, 0.5, 1];

function setShare(world: World, vm: string, share: number): void {
  world.fleet.setWorkerTotal(vm, {
    cpuMillicores: FULL.cpuMillicores * share,
    memoryMb: Math.round(FULL.memoryMb * share),
    gpuCount: 0,
  });
}

/** Changes the capacity of random workers until the traffic ends, and then restores all of them. */
function changeCapacities(world: World, atMs: number): void {
  const { random, fleet } = world;
  if (atMs < TRAFFIC_MS && random.chance(0.25)) {
    const vm = world.anyVm();
    setShare(world, vm, SHARES[random.between(0, SHARES.length - 1)]!);
  } else if (isAt(TRAFFIC_MS, atMs)) {
    fleet.vmNames.forEach((vm) => setShare(world, vm, 1));
  }
}

const SCENARIOS: readonly { readonly name: string; readonly injectFaults: FaultInjector }[] = [
  { name: "without other faults", injectFaults: () => {} },
  {
    name: "the owner is killed three times",
    injectFaults: (world, atMs) => {
      if (isAt(4_000, atMs) || isAt(9_000, atMs) || isAt(14_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "orders are lost or late",
    injectFaults: (world, atMs) => {
      world.fleet.faults.answerLossProbability = atMs < TRAFFIC_MS ? 0.05 : 0;
      world.fleet.faults.lateOrderProbability = atMs < TRAFFIC_MS ? 0.05 : 0;
    },
  },
  {
    name: "workers are out of the owner's reach, one after another, while starts are repeated",
    injectFaults: (world, atMs) => {
      const { blockedLinks } = world.fleet.faults;
      if (atMs % 5_000 === 0 && atMs < TRAFFIC_MS) {
        blockedLinks.clear();
        const worker = world.fleet.workerOf(`vm-${(atMs / 5_000) % 6}`);
        blockedLinks.add(`*>${worker}`);
      } else if (isAt(TRAFFIC_MS, atMs)) {
        blockedLinks.clear();
      }
    },
  },
  {
    name: "the store does not answer watches for 8 s",
    injectFaults: (world, atMs) => {
      world.store.faults.silencesWatches = atMs >= 6_000 && atMs < 14_000;
    },
  },
  {
    name: "the store refuses the owner's requests for 6 s, twice",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs) || isAt(11_000, atMs)) {
        world.cutOwnerFromStore(6_000);
      }
    },
  },
  {
    name: "the store is unavailable for 10 s",
    injectFaults: (world, atMs) => {
      if (isAt(5_000, atMs)) {
        world.store.faults.rejectedNodes.add("all");
      } else if (isAt(15_000, atMs)) {
        world.store.faults.rejectedNodes.clear();
      }
    },
  },
  {
    name: "half of the workers are cut off from the store for 10 s, but not from the owner",
    injectFaults: (world, atMs) => {
      if (isAt(5_000, atMs)) {
        ["vm-0", "vm-2", "vm-4"].forEach((vm) => world.fleet.faults.vmsCutFromStore.add(vm));
      } else if (isAt(15_000, atMs)) {
        world.fleet.faults.vmsCutFromStore.clear();
      }
    },
  },
];

useSimulatedTime();

test.each(crossWithSeeds(SCENARIOS, SEEDS))(
  "$name, seed $seed: no start exceeds a worker's capacity, and all jobs finish",
  async ({ seed, injectFaults }) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    for (let atMs = 0; atMs < TRAFFIC_MS + SETTLE_MS; atMs += STEP_MS) {
      changeCapacities(world, atMs);
      injectFaults(world, atMs);
      for (let count = 0; atMs < TRAFFIC_MS && count < 2; count++) {
        void world.submit();
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    const unfinished = world.jobIds.filter((jobId) =>
      !["complete", "failed", "cancelled"].includes(world.storedState(jobId))
    );
    world.nodes.forEach((node) => node.kill());
    expect({ violations: world.witness.violations, unfinished }).toEqual({
      violations: [],
      unfinished: [],
    });
    expect(world.witness.startCount).toBeGreaterThan(world.jobIds.length / 2);
  },
);
