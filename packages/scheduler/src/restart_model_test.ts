/**
 * Runs the scheduler in simulated time while workers start again under the ids that they had. Such a worker
 * knows nothing of before, and until it is known to have restarted, it gets the orders for its previous
 * incarnation. A witness records each task that runs twice or starts after it was done.
 *
 * @module
 */
import { expect, test } from "vitest";
import {
  crossWithSeeds,
  type FaultInjector,
  isAt,
  playTraffic,
  useSimulatedTime,
  World,
} from "./test/model_world.ts";

const TRAFFIC_MS = 15_000;
const SETTLE_MS = 30_000;
const SEEDS = [1, 2, 3, 4];
/** How long a restarting worker cannot write its registration. */
const CUT_MS = 5_000;
/** Long enough for leases to expire. */
const LONG_CUT_MS = 9_000;

function isEvery(intervalMs: number, atMs: number): boolean {
  return atMs < TRAFFIC_MS && atMs % intervalMs === 0;
}

const SCENARIOS: readonly { readonly name: string; readonly injectFaults: FaultInjector }[] = [
  {
    name: "workers restart",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.fleet.crash(world.anyVm(), 20, { keepsId: true });
      }
    },
  },
  {
    name: "workers that are cut off from the store restart",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.restartBehindCut(world.anyVm(), { downMs: 20, cutMs: CUT_MS });
      }
    },
  },
  {
    name: "workers that are cut off from the store restart, and lists show their VMs as down",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.restartBehindCut(world.anyVm(), { downMs: 700, cutMs: CUT_MS });
      }
    },
  },
  {
    name: "workers that are cut off from the store restart while orders are lost or late",
    injectFaults: (world, atMs) => {
      world.fleet.faults.answerLossProbability = atMs < TRAFFIC_MS ? 0.1 : 0;
      world.fleet.faults.lateOrderProbability = atMs < TRAFFIC_MS ? 0.05 : 0;
      if (isEvery(500, atMs)) {
        world.restartBehindCut(world.anyVm(), { downMs: 20, cutMs: CUT_MS });
      }
    },
  },
  {
    name: "workers that are cut off from the store restart while the owner is killed",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.restartBehindCut(world.anyVm(), { downMs: 20, cutMs: CUT_MS });
      }
      if (isAt(4_000, atMs) || isAt(9_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "workers that are cut off from the store restart, and nodes lose them for a while",
    injectFaults: (world, atMs) => {
      if (isEvery(1_500, atMs)) {
        const vm = world.anyVm();
        const worker = world.fleet.workerOf(vm);
        const { blockedLinks } = world.fleet.faults;
        world.restartBehindCut(vm, { downMs: 20, cutMs: LONG_CUT_MS });
        setTimeout(() => blockedLinks.add(`*>${worker}`), 150);
        setTimeout(() => blockedLinks.delete(`*>${worker}`), LONG_CUT_MS);
      }
    },
  },
];

useSimulatedTime();

// Guards against runs that a restarted worker has begun and that count as lost with its previous incarnation.
test.each(crossWithSeeds(SCENARIOS, SEEDS))(
  "$name, seed $seed: violates no guarantee and finishes all jobs",
  async ({ seed, injectFaults }) => {
    const world = new World(seed);
    const unfinished = await playTraffic(world, {
      injectFaults,
      trafficMs: TRAFFIC_MS,
      settleMs: SETTLE_MS,
    });
    world.nodes.forEach((node) => node.kill());
    expect({ violations: world.witness.violations, unfinished }).toEqual({
      violations: [],
      unfinished: [],
    });
  },
);
