/**
 * Runs the scheduler in simulated time while some tasks crash each worker that starts them. Such a task has
 * to be given up after a few starts, and no other job may be shown as failed.
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

const TRAFFIC_MS = 12_000;
const SETTLE_MS = 40_000;
const SEEDS = [1, 2, 3, 4];
const LONG_DOWN_MS = 3_200;
/** Every so many jobs, one has a task that crashes its workers. */
const DEADLY_JOB_INTERVAL = 8;
const LASTING_JOB_INTERVAL = 4;
const VM_NAMES = LARGE_POOLS.map((_, index) => `vm-${index}`);

type StepKind = "plain" | "gang" | "lasting";
/** When a task crashes its worker, given how long its work takes. */
type CrashTime = (estimateMs: number) => number;

const AT_ONCE: CrashTime = () => 10;
const AFTER_A_WHILE: CrashTime = (estimateMs) => Math.min(300, estimateMs / 2);
const NEAR_THE_END: CrashTime = (estimateMs) => 0.95 * estimateMs;

interface Scenario {
  readonly name: string;
  readonly injectFaults: FaultInjector;
  readonly crashTime?: CrashTime;
  readonly kind?: StepKind;
  readonly deadlyJobInterval?: number;
  readonly lastingJobInterval?: number;
}

function isEvery(intervalMs: number, atMs: number): boolean {
  return atMs < TRAFFIC_MS && atMs % intervalMs === 0;
}

const SCENARIOS: readonly Scenario[] = [
  { name: "without other faults", injectFaults: () => {} },
  { name: "workers crash after a while", injectFaults: () => {}, crashTime: AFTER_A_WHILE },
  { name: "workers crash near the end", injectFaults: () => {}, crashTime: NEAR_THE_END },
  { name: "many such tasks", injectFaults: () => {}, deadlyJobInterval: 3 },
  { name: "in gangs", injectFaults: () => {}, kind: "gang" },
  { name: "in long-running jobs", injectFaults: () => {}, kind: "lasting" },
  { name: "no such task", injectFaults: () => {}, deadlyJobInterval: Infinity },
  {
    name: "the owner is killed three times",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs) || isAt(6_500, atMs) || isAt(9_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "the ownership is handed over twice",
    injectFaults: (world, atMs) => {
      if (isAt(4_000, atMs) || isAt(8_000, atMs)) {
        void world.owner?.release();
      }
    },
  },
  {
    name: "the store is out for 5 s and the owner is killed when it returns",
    injectFaults: (world, atMs) => {
      if (isAt(3_000, atMs)) {
        world.store.faults.rejectedNodes.add("all");
      } else if (isAt(8_000, atMs)) {
        world.store.faults.rejectedNodes.clear();
        world.restartOwner();
      }
    },
  },
  {
    name: "VMs crash by themselves, one after another",
    injectFaults: (world, atMs) => {
      if (isEvery(750, atMs)) {
        world.fleet.crash(world.anyVm(), LONG_DOWN_MS);
      }
    },
  },
  {
    name: "only VMs that crash by themselves, and no such task",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.fleet.crash(world.anyVm(), LONG_DOWN_MS);
      }
    },
    deadlyJobInterval: Infinity,
  },
  {
    name: "VMs with long-running tasks crash by themselves in turn, and no such task",
    injectFaults: (world, atMs) => {
      if (atMs >= TRAFFIC_MS && atMs < TRAFFIC_MS + 30_000 && atMs % 1_000 === 0) {
        world.fleet.crash(VM_NAMES[(atMs / 1_000) % VM_NAMES.length]!, LONG_DOWN_MS);
      }
    },
    kind: "lasting",
    lastingJobInterval: 16,
    deadlyJobInterval: Infinity,
  },
  {
    name: "VMs crash by themselves, restart under the same id, and the owner is killed",
    injectFaults: (world, atMs) => {
      if (isEvery(1_000, atMs)) {
        world.fleet.crash(world.anyVm(), 400, { keepsId: true });
      }
      if (isAt(5_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "one VM crashes again and again",
    injectFaults: (world, atMs) => {
      if (isEvery(500, atMs)) {
        world.fleet.crash("vm-1", 250, { keepsId: true });
      }
    },
  },
  {
    name: "whole racks crash at once",
    injectFaults: (world, atMs) => {
      if (isEvery(3_000, atMs)) {
        const rack = `rack-${(atMs / 3_000) % 4}`;
        world.fleet.vmsWithLabel(rack).forEach((vm) => world.fleet.crash(vm, LONG_DOWN_MS));
      }
    },
  },
  {
    name: "a worker is cut off and another one does not respond for a while",
    injectFaults: (world, atMs) => {
      const { blockedLinks } = world.fleet.faults;
      if (isAt(3_000, atMs)) {
        blockedLinks.add(`*>${world.fleet.workerOf("vm-0")}`);
      } else if (isAt(5_000, atMs)) {
        blockedLinks.add(`*>${world.fleet.workerOf("vm-7")}`);
      } else if (isAt(7_000, atMs) || isAt(13_000, atMs)) {
        blockedLinks.clear();
      }
    },
  },
  {
    name: "workers drain and leave",
    injectFaults: (world, atMs) => {
      if (isEvery(1_500, atMs)) {
        world.fleet.drain(world.anyVm(), 2_000);
      }
    },
  },
  {
    name: "VMs are maintained, and the owner is killed in between",
    injectFaults: (world, atMs) => {
      if (isAt(2_000, atMs)) {
        world.startWave({
          wave: 1,
          vms: VM_NAMES.slice(0, 10),
          durationMs: 14_000,
          maxConcurrent: 3,
        });
      } else if (isAt(6_000, atMs)) {
        world.restartOwner();
      }
    },
  },
  {
    name: "the owner's wall clock is set forward by 6 s",
    injectFaults: (world, atMs) => {
      if (isAt(4_000, atMs) || isAt(8_000, atMs)) {
        world.owner?.setWallClock(6_000);
      }
    },
  },
  {
    name: "orders and answers are late or lost",
    injectFaults: (world, atMs) => {
      world.fleet.faults.answerLossProbability = atMs < TRAFFIC_MS ? 0.05 : 0;
      world.fleet.faults.lateOrderProbability = atMs < TRAFFIC_MS ? 0.03 : 0;
    },
  },
];

async function submit(
  world: World,
  { number, kind, crashTime, interval, lastingInterval }: {
    readonly number: number;
    readonly kind: StepKind;
    readonly crashTime: CrashTime;
    readonly interval: number;
    readonly lastingInterval: number;
  },
): Promise<void> {
  const { random } = world;
  const isDeadly = number % interval === interval - 1;
  const estimateMs = random.between(200, 1_500);
  const taskCount = random.between(1, 6);
  const steps = Array.from(
    { length: random.between(1, 2) },
    (_, step) =>
      testing.schedulingFixtures.step({
        taskCount,
        resources: { cpuMillicores: random.between(5, 40) * 100, memoryMb: 100, gpuCount: 0 },
        estimateMs,
        afterSteps: step === 0 ? [] : [step - 1],
      }),
  );
  const last = testing.schedulingFixtures.step({
    ...steps.at(-1)!,
    isGang: kind === "gang",
    isLasting: kind === "lasting" && number % lastingInterval === 3,
  });
  const all = last.isLasting ? [{ ...last, afterSteps: [] }] : [...steps.slice(0, -1), last];
  const crash = { index: random.between(0, taskCount - 1), afterMs: crashTime(estimateMs) };
  const queue = random.chance(0.5) ? "quick" : "batch";
  await world.submitSteps(all, queue, isDeadly ? crash : undefined);
}

/** Jobs that are not over; those with long-running tasks if a task does not run. */
function unfinishedJobs(world: World): string[] {
  return world.jobIds.filter((jobId) => {
    const steps = world.stepsOf(jobId);
    const isOver = ["complete", "failed", "cancelled"].includes(world.storedState(jobId));
    return !isOver && !steps.some(({ isLasting }) => isLasting) ||
      !isOver &&
        steps.some(({ taskCount }, step) =>
          Array.from({ length: taskCount }, (_, index) => `${jobId}.0.${step}.${index}`)
            .some((task) => !world.fleet.isRunning(task))
        );
  });
}

useSimulatedTime();

test.each(crossWithSeeds(SCENARIOS, SEEDS))(
  "tasks that crash their workers, $name, seed $seed: are given up, and no other job fails",
  async ({ seed, injectFaults, crashTime = AT_ONCE, kind = "plain", ...intervals }) => {
    const world = new World(seed, { pools: LARGE_POOLS, rackCount: 4, failureProbability: 0 });
    const interval = intervals.deadlyJobInterval ?? DEADLY_JOB_INTERVAL;
    const lastingInterval = intervals.lastingJobInterval ?? LASTING_JOB_INTERVAL;
    await vi.advanceTimersByTimeAsync(2_000);
    let number = 0;
    for (let atMs = 0; atMs < TRAFFIC_MS + SETTLE_MS; atMs += STEP_MS) {
      injectFaults(world, atMs);
      if (atMs < TRAFFIC_MS && world.random.chance(0.8)) {
        void submit(world, { number: number++, kind, crashTime, interval, lastingInterval });
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    const unfinished = unfinishedJobs(world);
    world.jobIds.forEach((jobId) =>
      world.witness.recordFinalState(jobId, world.storedState(jobId))
    );
    world.nodes.forEach((node) => node.kill());
    expect({ violations: world.witness.violations, unfinished }).toEqual({
      violations: [],
      unfinished: [],
    });
  },
);
