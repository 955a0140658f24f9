/**
 * Runs the scheduler in simulated time while a workspace submits more than its limit allows, and owners change
 * beside workers that are cut off and go on with their tasks. A witness adds up what all workers run.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import { expect, test, vi } from "vitest";
import {
  crossWithSeeds,
  type FaultInjector,
  isAt,
  LARGE_POOLS,
  STEP_MS,
  useSimulatedTime,
  World,
} from "./test/model_world.ts";

const TRAFFIC_MS = 15_000;
const SETTLE_MS = 45_000;
const SEEDS = [1, 2, 3, 4];
const CUT_MS = 6_000;
const MAX_TASKS = 8;

/** Cuts the nodes off from the workers with the most runs, which stay registered. */
function cutBusyWorkers(world: World, count: number): void {
  const { fleet } = world;
  const busiest = fleet.vmNames.sort((a, b) => fleet.runsOn(b) - fleet.runsOn(a)).slice(0, count);
  const links = busiest.map((vm) => `*>${fleet.workerOf(vm)}`);
  links.forEach((link) => fleet.faults.blockedLinks.add(link));
  setTimeout(() => links.forEach((link) => fleet.faults.blockedLinks.delete(link)), CUT_MS);
}

const SCENARIOS: readonly { readonly name: string; readonly injectFaults: FaultInjector }[] = [
  { name: "without faults", injectFaults: () => {} },
  {
    name: "the owner hands over beside workers that are cut off",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs) || isAt(10_000, atMs)) {
        cutBusyWorkers(world, 2);
        void world.replaceOwner();
      }
    },
  },
  {
    name: "the owner is killed beside workers that are cut off",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs) || isAt(10_000, atMs)) {
        cutBusyWorkers(world, 2);
        world.restartOwner();
      }
    },
  },
  {
    name: "jobs are cancelled, and the owner hands over twice beside a worker that is cut off",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs) || isAt(10_000, atMs)) {
        cutBusyWorkers(world, 1);
        void world.replaceOwner();
        world.jobIds.filter((_, index) => index % 2 === 0).forEach((jobId) =>
          void world.cancel(jobId)
        );
      } else if (isAt(4_500, atMs) || isAt(11_500, atMs)) {
        void world.replaceOwner();
      }
    },
  },
  {
    name: "workers that are cut off from the store restart while the owner hands over",
    injectFaults: (world, atMs) => {
      if (atMs < TRAFFIC_MS && atMs % 500 === 0) {
        world.restartBehindCut(world.anyVm(), { downMs: 20, cutMs: CUT_MS });
      }
      if (isAt(5_000, atMs)) {
        void world.replaceOwner();
      }
    },
  },
];

useSimulatedTime();

// Guards against runs that do not count against their workspace's limit, as no worker has reported them.
test.each(crossWithSeeds(SCENARIOS, SEEDS))(
  "$name, seed $seed: the workspace stays within its limit, and all jobs finish",
  async ({ seed, injectFaults }) => {
    const world = new World(seed, { pools: LARGE_POOLS, failureProbability: 0 });
    await vi.advanceTimersByTimeAsync(2_000);
    for (let atMs = 0; atMs < TRAFFIC_MS + SETTLE_MS; atMs += STEP_MS) {
      if (atMs < TRAFFIC_MS) {
        const { random } = world;
        const step = testing.schedulingFixtures.step({
          taskCount: random.between(1, MAX_TASKS),
          resources: { cpuMillicores: random.between(1, 4) * 1_000, memoryMb: 10, gpuCount: 0 },
          estimateMs: random.between(500, 3_000),
        });
        void world.submitSteps([step], random.chance(0.5) ? "quick" : "batch");
      }
      injectFaults(world, atMs);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    const unfinished = world.jobIds.filter((jobId) =>
      !["complete", "cancelled"].includes(world.storedState(jobId))
    );
    world.nodes.forEach((node) => node.kill());
    expect({ violations: world.witness.violations, unfinished }).toEqual({
      violations: [],
      unfinished: [],
    });
  },
);
