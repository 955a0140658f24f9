/**
 * Tests of step order, job rates, pool moves, demand trends, maintenance waves, evacuation, pacing,
 * and ownership proofs.
 */
import * as testing from "@jackdawlink/testing";
import { describe, expect, test } from "vitest";
import { DemandTrend } from "./demand_trend.ts";
import * as evacuation from "./evacuation.ts";
import * as fixtures from "./test/fixtures.ts";
import { JobRecord, type Run } from "./job_record.ts";
import { OwnershipProof } from "./ownership_proof.ts";
import * as stepOrder from "./step_order.ts";
import { decidePaceChanges, recordPaceFailure } from "./pacing.ts";
import { neededVms, planMoves } from "./pool_plan.ts";
import { TokenBucket } from "./token_bucket.ts";
import { NO_RESOURCES } from "./resources.ts";
import { planWave } from "./wave_plan.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Adds an active run of a new job to a worker. */
function runOn(
  worker: WorkerRecord,
  given: Parameters<typeof testing.schedulingFixtures.step>[0],
  overrides: Partial<Run> = {},
): Run {
  const job = new JobRecord(
    fixtures.job(`j${worker.runs.size}`, [testing.schedulingFixtures.step(given)]),
    {
      acceptedRevision: 1,
      seenAtMs: 0,
    },
  );
  const run = fixtures.run(job.step(0, 0)!, worker, overrides);
  run.step.assign(run.task, run);
  worker.addRun(run);
  return run;
}

describe("the order of ready steps", () => {
  const view = { queue: testing.schedulingFixtures.queue("quick"), durationRatio: 1 };
  const rate = (sinceMs: number, given: { isLasting?: boolean; isOverRate?: boolean } = {}) => {
    const spec = testing.schedulingFixtures.step({ isLasting: given.isLasting ?? false });
    const job = new JobRecord(fixtures.job("j", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const isOverRate = given.isOverRate ?? false;
    return stepOrder.urgencyOf(job.step(0, 0)!, { view, nowMs: 10_000, sinceMs, isOverRate }).tier;
  };
  // The objective is 2 x 1,000 ms of work and 500 ms more.
  test.each([
    { name: "a long-running task", tier: rate(0, { isLasting: true }), expected: 0 },
    { name: "a job that can meet its objective", tier: rate(9_000), expected: 1 },
    {
      name: "the same job of a workspace above its rate",
      tier: rate(9_000, { isOverRate: true }),
      expected: 2,
    },
    { name: "a job that will be late", tier: rate(8_000), expected: 3 },
    { name: "a job that is too late", tier: rate(1_000), expected: 4 },
  ])("$name is in tier $expected", ({ tier, expected }) => {
    expect(tier).toBe(expected);
  });

  test("orders steps of a tier by queue priority, then by the time of the objective", () => {
    const urgencies = [
      { tier: 1, priority: 1, dueAtMs: 1 },
      { tier: 1, priority: 0, dueAtMs: 9 },
      { tier: 1, priority: 0, dueAtMs: 5 },
      { tier: 0, priority: 1, dueAtMs: 9 },
    ];
    expect(urgencies.sort(stepOrder.compareUrgency).map(({ dueAtMs }) => dueAtMs)).toEqual([
      9,
      5,
      9,
      1,
    ]);
  });
});

test("admits only the rate and burst of a workspace that submits ten times its rate", () => {
  const share = new TokenBucket(0);
  const taken = Array.from({ length: 100 }, (_, index) => share.take(2, index * 50));
  const within = taken.filter(Boolean).length;
  // 5 s at 2 a second, and a burst of 2 s more.
  expect(within).toBeGreaterThanOrEqual(10);
  expect(within).toBeLessThanOrEqual(14);
});

describe("moves between pools", () => {
  const demand = (pool: string, cores: number, isStandby = false, minVms = 0) => ({
    pool,
    isStandby,
    minVms,
    demand: { cpuMillicores: cores * 1_000, memoryMb: 0, gpuCount: 0 },
  });
  const standby = (vm: string) =>
    fixtures.vmView(vm, { pool: "spare", isStandby: true, worker: undefined });
  const none = { frozen: new Set<string>(), due: new Set<string>(), nowMs: 100_000 };
  const idle = (vm: string, pool = "a") => fixtures.vmView(vm, { pool });

  test.each([
    {
      name: "a pool short of capacity gets VMs from standby",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), standby("3"), standby("4")],
      expected: ["3>a"],
    },
    {
      name: "standby VMs due for maintenance are moved last",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), standby("3"), standby("4")],
      due: new Set(["3"]),
      expected: ["4>a"],
    },
    {
      name: "surplus idle VMs go to standby, except for the minimum of two",
      demands: [demand("a", 0), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), idle("3"), idle("4")],
      expected: ["1>spare", "2>spare"],
    },
    {
      name: "a pool keeps the VMs over which its tasks must be spread",
      demands: [demand("a", 0, false, 3), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), idle("3"), idle("4")],
      expected: ["1>spare"],
    },
    {
      name: "an idle pool gives up VMs if none are in standby",
      demands: [demand("a", 0), demand("b", 60), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), idle("3"), idle("4", "b"), idle("5", "b")],
      expected: ["1>b"],
    },
    {
      name: "frozen VMs are not moved",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [idle("1"), idle("2"), standby("3")],
      frozen: new Set(["3"]),
      expected: [],
    },
  ])("$name", ({ demands, vms, expected, ...given }) => {
    const moves = planMoves(demands, { vms, ...none, ...given });
    expect(moves.map(({ vm, toPool }) => `${vm}>${toPool}`)).toEqual(expected);
  });

  test.each([
    {
      name: "and is idle: it needs two more",
      totalCores: 2,
      usedCores: 0,
      demandCores: 25,
      count: 2,
    },
    {
      name: "below its runs: they need no other",
      totalCores: 2,
      usedCores: 14,
      demandCores: 14,
      count: 0,
    },
    {
      name: "to nothing: it needs two more",
      totalCores: 0,
      usedCores: 0,
      demandCores: 25,
      count: 2,
    },
  ])(
    "sizes a pool with a worker that has shrunk $name",
    ({ totalCores, usedCores, demandCores, count }) => {
      const total = { ...fixtures.TOTAL, cpuMillicores: totalCores * 1_000 };
      const worker = fixtures.openWorker("w", { total });
      if (usedCores > 0) {
        const needed = { cpuMillicores: usedCores * 1_000, memoryMb: 100, gpuCount: 0 };
        runOn(worker, { resources: needed });
      }
      const vms = [
        fixtures.vmView("shrunk", { pool: "a", worker }),
        fixtures.vmView("small", {
          pool: "a",
          worker: fixtures.openWorker("s", { total: { ...fixtures.TOTAL, cpuMillicores: 3_000 } }),
        }),
        standby("off-1"),
        standby("off-2"),
        standby("off-3"),
      ];
      const moves = planMoves([demand("a", demandCores), demand("spare", 0, true)], {
        vms,
        ...none,
      });
      expect(moves.filter(({ toPool }) => toPool === "a")).toHaveLength(count);
    },
  );

  test("moves enough VMs for a demand peak in a large fleet within four rounds", () => {
    const demands = [demand("a", 1_590), demand("spare", 0, true)];
    const vms = Array.from({ length: 240 }, (_, index) => standby(`off-${index}`));
    let moved = 0;
    for (let round = 0; round < 4; round++) {
      for (const move of planMoves(demands, { vms, ...none })) {
        const index = vms.findIndex(({ vm }) => vm === move.vm);
        vms[index] = fixtures.vmView(move.vm, { pool: "a", state: "moving" });
        moved++;
      }
    }
    // 1,590 cores plus 10% headroom, on VMs with 16 cores.
    expect(moved).toBe(110);
  });

  test.each([
    {
      name: "all idle VMs of a pool that is short",
      cores: 60,
      vms: [idle("1"), idle("2"), idle("3")],
      expected: ["1", "2", "3"],
    },
    {
      name: "as many as the demand takes",
      cores: 25,
      vms: [idle("1"), idle("2"), idle("3")],
      expected: ["2", "3"],
    },
    { name: "none in standby", cores: 60, vms: [standby("1")], expected: [] },
  ])("tells which idle VMs their pool needs: $name", ({ cores, vms, expected }) => {
    const demands = [demand("a", cores), demand("spare", 0, true)];
    expect([...neededVms(demands, vms)]).toEqual(expected);
  });

  test("does not move a VM with unstored task ends", () => {
    const view = idle("1");
    view.worker!.ends.processed = 3;
    const vms = [view, idle("2"), idle("3")];
    const moves = planMoves([demand("a", 0), demand("spare", 0, true)], { vms, ...none });
    expect(moves.map(({ vm }) => vm)).toEqual(["2"]);
  });
});

describe("projected demand", () => {
  const cores = (count: number) => ({ ...NO_RESOURCES, cpuMillicores: count * 1_000 });
  test.each([
    { name: "the first sample is returned unchanged", samples: [10], expected: 10 },
    {
      name: "a rise is extrapolated over the duration of a move",
      samples: [40, 42, 44, 46],
      expected: 58,
    },
    { name: "a fall is not extrapolated", samples: [40, 30, 20], expected: 20 },
    { name: "a steep rise at most doubles the demand", samples: [1, 100], expected: 200 },
  ])("$name", ({ samples, expected }) => {
    const trend = new DemandTrend();
    const projected = samples.map((sample, index) =>
      trend.project("a", cores(sample), index * 250).cpuMillicores / 1_000
    );
    expect(projected.at(-1)).toBe(expected);
  });
});

describe("a maintenance wave", () => {
  const wave = { wave: 1, vms: ["1", "2", "3"], durationMs: 25_000, maxConcurrent: 2 };
  const state = (given: { done?: string[]; down?: string[] } = {}) => ({
    wave,
    startedAtMs: 0,
    done: new Set(given.done),
    down: new Set(given.down),
  });
  const busy = (vm: string) => {
    const view = fixtures.vmView(vm);
    runOn(view.worker!, { resources: { ...fixtures.TOTAL } });
    return view;
  };
  /** A fully used VM with tasks of one long-running step, which move one at a time. */
  const withLongRunning = (vm: string, taskCount: number) => {
    const view = busy(vm);
    const spec = testing.schedulingFixtures.step({ taskCount, isLasting: true });
    const job = new JobRecord(fixtures.job("l", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const step = job.step(0, 0)!;
    const { worker } = view;
    [...step.waitingTasks()].forEach((task) =>
      worker!.addRun({ ...runOn(worker!, {}), step, task })
    );
    return view;
  };
  const wanted = new Set<string>();

  test.each([
    {
      name: "idle VMs go down at once, up to the concurrency limit",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      nowMs: 0,
      expected: { maintain: ["1", "2"], drain: [], isUrgent: false },
    },
    {
      name: "VMs that are down count towards the limit",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      given: { done: ["1"], down: ["1"] },
      nowMs: 0,
      expected: { maintain: ["2"], drain: [], isUrgent: false },
    },
    {
      name: "busy pools are not drained while there is ample slack",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 0,
      expected: { maintain: [], drain: [], isUrgent: false },
    },
    {
      name: "a VM whose long-running tasks need all the remaining time is drained at once",
      vms: [withLongRunning("1", 7), busy("2"), withLongRunning("3", 2)],
      nowMs: 0,
      expected: { maintain: [], drain: ["1"], isUrgent: false },
    },
    {
      name: "busy VMs are drained once the slack is short",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 10_000,
      expected: { maintain: [], drain: ["1", "2"], isUrgent: false },
    },
    {
      name: "tasks are stopped when the drain is urgent",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 14_000,
      expected: { maintain: [], drain: ["1", "2"], isUrgent: true },
    },
    {
      name: "idle VMs that a pool needs are not taken while there is ample slack",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      wanted: new Set(["1", "2"]),
      nowMs: 0,
      expected: { maintain: ["3"], drain: [], isUrgent: false },
    },
    {
      name: "of the idle VMs, those in standby go down first, and those that a pool needs last",
      vms: [
        fixtures.vmView("1"),
        fixtures.vmView("2"),
        fixtures.vmView("3", { pool: "spare", isStandby: true, worker: undefined }),
      ],
      wanted: new Set(["1"]),
      nowMs: 14_000,
      expected: { maintain: ["3", "2"], drain: [], isUrgent: true },
    },
  ])("$name", ({ vms, given, nowMs, expected, ...more }) => {
    expect(planWave(state(given), { vms, wanted: more.wanted ?? wanted, nowMs })).toEqual(expected);
  });
});

describe("evacuation of a worker", () => {
  const longRunning = (taskCount: number) => {
    const worker = fixtures.openWorker("w");
    const spec = testing.schedulingFixtures.step({
      taskCount,
      isLasting: true,
      maxUnavailableTasks: 1,
    });
    const job = new JobRecord(fixtures.job("j", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const step = job.step(0, 0)!;
    for (const task of step.waitingTasks()) {
      const run = { ...runOn(worker, {}), step, task };
      worker.removeRun(task.run ?? run, 0);
      task.run = run;
    }
    worker.runs.clear();
    step.runs().forEach((run) => worker.addRun(run));
    return { worker, step };
  };

  test("stops the long-running tasks of a step one at a time", () => {
    const { worker, step } = longRunning(3);
    const chosen = evacuation.runsToEvacuate(worker, { nowMs: 0, isUrgent: true });
    expect(chosen).toHaveLength(1);
    chosen[0]!.state = "stopping";
    expect(evacuation.runsToEvacuate(worker, { nowMs: 0, isUrgent: true })).toEqual([]);
    expect(step.runs()).toHaveLength(3);
  });

  test("stops no long-running task while another one is not at full speed", () => {
    const { step } = longRunning(2);
    step.task(1)!.run!.percent = 50;
    expect(evacuation.canStopLongRunning(step.task(0)!.run!, 0)).toBe(false);
  });

  test("stops no long-running task while a previous owner may be stopping another one", () => {
    const { step } = longRunning(2);
    step.task(1)!.run!.mayBeStoppingUntilMs = 2_000;
    const run = step.task(0)!.run!;
    expect([1_999, 2_000].map((nowMs) => evacuation.canStopLongRunning(run, nowMs)))
      .toEqual([false, true]);
  });

  test.each([
    {
      name: "a short task is left to end if the drain isn't urgent",
      given: {},
      isUrgent: false,
      count: 0,
    },
    {
      name: "a checkpointing task that has run for long is stopped",
      given: { isCheckpointing: true },
      isUrgent: false,
      count: 1,
    },
    { name: "any task is stopped if the drain is urgent", given: {}, isUrgent: true, count: 1 },
  ])("$name", ({ given, isUrgent, count }) => {
    const worker = fixtures.openWorker("w");
    runOn(worker, given);
    expect(evacuation.runsToEvacuate(worker, { nowMs: 5_000, isUrgent })).toHaveLength(count);
  });
});

test.each([
  { name: "below the objective, the pace is unchanged", load: 50, pace: 100, expected: [] },
  { name: "near the objective, spare work slows down", load: 90, pace: 100, expected: [50] },
  { name: "above the objective, spare work stops", load: 120, pace: 100, expected: [0] },
  { name: "well below the objective, spare work speeds up", load: 20, pace: 40, expected: [60] },
])("latency of a serving task: $name", ({ load, pace, expected }) => {
  const worker = fixtures.openWorker("w");
  runOn(worker, { latencyObjectiveMs: 100, isLasting: true }, { load });
  runOn(worker, { usesSpareCpu: true }, { pacePercent: pace });
  expect(decidePaceChanges([worker], 10_000).map(({ percent }) => percent)).toEqual(expected);
});

// Guards against spare work that runs at full speed beside a late task, as the order to pause it had no effect.
test.each([
  { name: "repeats a refused change once", percent: 0, mayBeCarriedOut: false, expected: [0] },
  {
    name: "does not repeat a refused change that a newer one has replaced",
    percent: 50,
    mayBeCarriedOut: false,
    expected: [],
  },
  {
    name: "repeats the newer change after an older one without an answer",
    percent: 50,
    mayBeCarriedOut: true,
    expected: [0],
  },
])("pace: $name", ({ percent, mayBeCarriedOut, expected }) => {
  const worker = fixtures.openWorker("w");
  runOn(worker, { latencyObjectiveMs: 100, isLasting: true }, { load: 120 });
  runOn(worker, { usesSpareCpu: true }, {});
  const [change] = decidePaceChanges([worker], 10_000);
  recordPaceFailure(change!.run, { percent, mayBeCarriedOut });
  const [soon, later, afterwards] = [10_100, 10_700, 11_400].map((nowMs) =>
    decidePaceChanges([worker], nowMs).map((each) => each.percent)
  );
  expect([change!.percent, soon, later, afterwards]).toEqual([0, [], expected, []]);
});

describe("ownership proof", () => {
  const workers = ["a", "b", "c"];
  test.each([
    {
      name: "the store's proof is valid for 1.6 s",
      store: 1_000,
      asked: 2_600,
      proven: [],
      expected: true,
    },
    {
      name: "the store's proof expires after that",
      store: 1_000,
      asked: 2_601,
      proven: [],
      expected: false,
    },
    {
      name: "a majority of the workers is a proof",
      store: 0,
      asked: 5_000,
      proven: ["a", "b"],
      expected: true,
    },
    {
      name: "half of the workers is no proof",
      store: 0,
      asked: 5_000,
      proven: ["a"],
      expected: false,
    },
  ])("$name", ({ store, asked, proven, expected }) => {
    const proof = new OwnershipProof();
    proof.recordStoreProof(store);
    proven.forEach((worker) => proof.recordWorkerProof(worker, asked - 100));
    expect(proof.isValid(asked, workers)).toBe(expected);
  });

  test("is invalid for good once another owner is seen", () => {
    const proof = new OwnershipProof();
    proof.recordStoreProof(1_000);
    proof.invalidate();
    expect(proof.isValid(1_000, workers)).toBe(false);
  });
});
