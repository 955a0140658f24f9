/**
 * Tables for the plans: order, pools, waves, evacuation, pacing, and the owner's mandate.
 */
import * as testing from "@jackdawlink/testing";
import { describe, expect, test } from "vitest";
import { DemandTrend } from "./demand_trend.ts";
import * as evacuation from "./evacuation.ts";
import * as fixtures from "./test/fixtures.ts";
import { JobRecord, type Run } from "./job_record.ts";
import { OwnershipProof } from "./ownership_proof.ts";
import * as order from "./step_order.ts";
import { decidePaceChanges } from "./pacing.ts";
import { planMoves } from "./pool_plan.ts";
import { TokenBucket } from "./token_bucket.ts";
import { NO_RESOURCES } from "./resources.ts";
import { planWave } from "./wave_plan.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** A run of a new job on a worker, at work. */
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
  const step = job.step(0, 0)!;
  const task = step.tasks[0]!;
  const run: Run = {
    step,
    task,
    runId: 1,
    workerId: worker.info.workerId,
    orderedAtMs: 0,
    allocation: step.spec.resources,
    state: "running",
    confirmedAtMs: 1,
    verifyAfterMs: undefined,
    percent: 100,
    load: 0,
    pacePercent: 100,
    pacedAtMs: 0,
    mayBeStoppingUntilMs: 0,
    ...overrides,
  };
  run.step.assign(task, run);
  worker.addRun(run);
  return run;
}

describe("the order of ready steps", () => {
  const view = { queue: testing.schedulingFixtures.queue("quick"), durationRatio: 1 };
  const rate = (sinceMs: number, given: { isLasting?: boolean; isOverRate?: boolean } = {}) => {
    const spec = testing.schedulingFixtures.step({ isLasting: given.isLasting ?? false });
    const job = new JobRecord(fixtures.job("j", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const isOverRate = given.isOverRate ?? false;
    return order.urgencyOf(job.step(0, 0)!, { view, nowMs: 10_000, sinceMs, isOverRate }).tier;
  };
  // The objective is 2 x 1,000 ms of work and 500 ms more.
  test.each([
    { name: "a lasting task", tier: rate(0, { isLasting: true }), expected: 0 },
    { name: "a job that can be in time", tier: rate(9_000), expected: 1 },
    { name: "the same beyond its share", tier: rate(9_000, { isOverRate: true }), expected: 2 },
    { name: "a job that will be late", tier: rate(8_000), expected: 3 },
    { name: "a job that is too late", tier: rate(1_000), expected: 4 },
  ])("$name is in tier $expected", ({ tier, expected }) => {
    expect(tier).toBe(expected);
  });

  test("within a tier the queue's priority goes first, then the nearest objective", () => {
    const urgencies = [
      { tier: 1, priority: 1, dueAtMs: 1 },
      { tier: 1, priority: 0, dueAtMs: 9 },
      { tier: 1, priority: 0, dueAtMs: 5 },
      { tier: 0, priority: 1, dueAtMs: 9 },
    ];
    expect(urgencies.sort(order.compareUrgency).map(({ dueAtMs }) => dueAtMs)).toEqual([
      9,
      5,
      9,
      1,
    ]);
  });
});

test("a workspace that sends ten times its rate is beyond its share with all but its rate", () => {
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
  const rested = (vm: string, pool = "a") => fixtures.vmView(vm, { pool });

  test.each([
    {
      name: "a pool that asks for more gets VMs from standby",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), standby("3"), standby("4")],
      expected: ["3>a"],
    },
    {
      name: "VMs that are due for maintenance are taken last",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), standby("3"), standby("4")],
      due: new Set(["3"]),
      expected: ["4>a"],
    },
    {
      name: "idle VMs beyond need go to standby, but two stay",
      demands: [demand("a", 0), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), rested("3"), rested("4")],
      expected: ["1>spare", "2>spare"],
    },
    {
      name: "tasks that must be spread keep more",
      demands: [demand("a", 0, false, 3), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), rested("3"), rested("4")],
      expected: ["1>spare"],
    },
    {
      name: "without standby VMs an idle pool gives",
      demands: [demand("a", 0), demand("b", 60), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), rested("3"), rested("4", "b"), rested("5", "b")],
      expected: ["1>b"],
    },
    {
      name: "frozen VMs stay",
      demands: [demand("a", 40), demand("spare", 0, true)],
      vms: [rested("1"), rested("2"), standby("3")],
      frozen: new Set(["3"]),
      expected: [],
    },
  ])("$name", ({ demands, vms, expected, ...given }) => {
    const moves = planMoves(demands, { vms, ...none, ...given });
    expect(moves.map(({ vm, toPool }) => `${vm}>${toPool}`)).toEqual(expected);
  });

  test("a queue of a large fleet whose turn has come has its VMs within four looks", () => {
    const demands = [demand("a", 1_590), demand("spare", 0, true)];
    const vms = Array.from({ length: 240 }, (_, index) => standby(`off-${index}`));
    let moved = 0;
    for (let look = 0; look < 4; look++) {
      for (const move of planMoves(demands, { vms, ...none })) {
        const index = vms.findIndex(({ vm }) => vm === move.vm);
        vms[index] = fixtures.vmView(move.vm, { pool: "a", state: "moving" });
        moved++;
      }
    }
    // 1,590 cores and the headroom of a tenth, on VMs of 16 cores.
    expect(moved).toBe(110);
  });

  test("a VM with ends that are not stored yet does not move", () => {
    const view = rested("1");
    view.worker!.ends.processed = 3;
    const vms = [view, rested("2"), rested("3")];
    const moves = planMoves([demand("a", 0), demand("spare", 0, true)], { vms, ...none });
    expect(moves.map(({ vm }) => vm)).toEqual(["2"]);
  });
});

describe("a rising demand", () => {
  const cores = (count: number) => ({ ...NO_RESOURCES, cpuMillicores: count * 1_000 });
  test.each([
    { name: "a first look is taken as it is", samples: [10], expected: 10 },
    { name: "a rise goes on for a move's time", samples: [40, 42, 44, 46], expected: 58 },
    { name: "a fall is not projected", samples: [40, 30, 20], expected: 20 },
    { name: "one large job at most doubles it", samples: [1, 100], expected: 200 },
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
  /** A VM without room that has tasks of one lasting step, which leave one at a time. */
  const withLasting = (vm: string, taskCount: number) => {
    const view = busy(vm);
    const spec = testing.schedulingFixtures.step({ taskCount, isLasting: true });
    const job = new JobRecord(fixtures.job("l", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const step = job.step(0, 0)!;
    const { worker } = view;
    step.tasks.forEach((task) => worker!.addRun({ ...runOn(worker!, {}), step, task }));
    return view;
  };
  const wanted = new Set<string>();

  test.each([
    {
      name: "idle VMs go down at once, as many as may be down",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      nowMs: 0,
      expected: { maintain: ["1", "2"], drain: [], isUrgent: false },
    },
    {
      name: "VMs that are down count",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      given: { done: ["1"], down: ["1"] },
      nowMs: 0,
      expected: { maintain: ["2"], drain: [], isUrgent: false },
    },
    {
      name: "busy pools are left alone while there is time",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 0,
      expected: { maintain: [], drain: [], isUrgent: false },
    },
    {
      name: "a VM whose lasting tasks need all the time that is left is emptied at once",
      vms: [withLasting("1", 7), busy("2"), withLasting("3", 2)],
      nowMs: 0,
      expected: { maintain: [], drain: ["1"], isUrgent: false },
    },
    {
      name: "later busy VMs are emptied",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 10_000,
      expected: { maintain: [], drain: ["1", "2"], isUrgent: false },
    },
    {
      name: "at the end tasks are stopped",
      vms: ["1", "2", "3"].map(busy),
      nowMs: 14_000,
      expected: { maintain: [], drain: ["1", "2"], isUrgent: true },
    },
    {
      name: "idle VMs that a pool asks for are left to it while there is time",
      vms: ["1", "2", "3"].map((vm) => fixtures.vmView(vm)),
      wanted: new Set(["1", "2"]),
      nowMs: 0,
      expected: { maintain: ["3"], drain: [], isUrgent: false },
    },
  ])("$name", ({ vms, given, nowMs, expected, ...more }) => {
    expect(planWave(state(given), { vms, wanted: more.wanted ?? wanted, nowMs })).toEqual(expected);
  });
});

describe("emptying a worker", () => {
  const lasting = (taskCount: number) => {
    const worker = fixtures.openWorker("w");
    const spec = testing.schedulingFixtures.step({
      taskCount,
      isLasting: true,
      maxUnavailableTasks: 1,
    });
    const job = new JobRecord(fixtures.job("j", [spec]), { acceptedRevision: 1, seenAtMs: 0 });
    const step = job.step(0, 0)!;
    for (const task of step.tasks) {
      const run = { ...runOn(worker, {}), step, task };
      worker.removeRun(task.run ?? run, 0);
      task.run = run;
    }
    worker.runs.clear();
    step.tasks.forEach((task) => worker.addRun(task.run!));
    return { worker, step };
  };

  test("lasting tasks of a step leave one at a time", () => {
    const { worker, step } = lasting(3);
    const chosen = evacuation.runsToEvacuate(worker, { nowMs: 0, isUrgent: true });
    expect(chosen).toHaveLength(1);
    chosen[0]!.state = "stopping";
    expect(evacuation.runsToEvacuate(worker, { nowMs: 0, isUrgent: true })).toEqual([]);
    expect(step.tasks).toHaveLength(3);
  });

  test("none leaves while another one is not at work", () => {
    const { step } = lasting(2);
    step.tasks[1]!.run!.percent = 50;
    expect(evacuation.canStopLongRunning(step.tasks[0]!.run!, 0)).toBe(false);
  });

  test("none leaves while another one may be stopping by an earlier owner's order", () => {
    const { step } = lasting(2);
    step.tasks[1]!.run!.mayBeStoppingUntilMs = 2_000;
    const run = step.tasks[0]!.run!;
    expect([1_999, 2_000].map((nowMs) => evacuation.canStopLongRunning(run, nowMs)))
      .toEqual([false, true]);
  });

  test.each([
    { name: "a short task is left to end", given: {}, isUrgent: false, count: 0 },
    {
      name: "a long one with checkpoints moves",
      given: { isCheckpointing: true },
      isUrgent: false,
      count: 1,
    },
    { name: "when time presses, any is stopped", given: {}, isUrgent: true, count: 1 },
  ])("$name", ({ given, isUrgent, count }) => {
    const worker = fixtures.openWorker("w");
    runOn(worker, given);
    expect(evacuation.runsToEvacuate(worker, { nowMs: 5_000, isUrgent })).toHaveLength(count);
  });
});

test.each([
  { name: "under its objective, nothing changes", load: 50, pace: 100, expected: [] },
  { name: "near its objective, spare work slows down", load: 90, pace: 100, expected: [50] },
  { name: "over its objective, spare work stops", load: 120, pace: 100, expected: [0] },
  { name: "well under it, spare work speeds up", load: 20, pace: 40, expected: [60] },
])("a serving task: $name", ({ load, pace, expected }) => {
  const worker = fixtures.openWorker("w");
  runOn(worker, { latencyObjectiveMs: 100, isLasting: true }, { load });
  runOn(worker, { usesSpareCpu: true }, { pacePercent: pace });
  expect(decidePaceChanges([worker], 10_000).map(({ percent }) => percent)).toEqual(expected);
});

describe("the owner's mandate", () => {
  const workers = ["a", "b", "c"];
  test.each([
    {
      name: "the store's proof counts for 1.6 s",
      store: 1_000,
      asked: 2_600,
      proven: [],
      expected: true,
    },
    { name: "after that it has run out", store: 1_000, asked: 2_601, proven: [], expected: false },
    {
      name: "most workers prove it too",
      store: 0,
      asked: 5_000,
      proven: ["a", "b"],
      expected: true,
    },
    { name: "half of them do not", store: 0, asked: 5_000, proven: ["a"], expected: false },
  ])("$name", ({ store, asked, proven, expected }) => {
    const mandate = new OwnershipProof();
    mandate.recordStoreProof(store);
    proven.forEach((worker) => mandate.recordWorkerProof(worker, asked - 100));
    expect(mandate.isValid(asked, workers)).toBe(expected);
  });

  test("it ends for good when another owner is seen", () => {
    const mandate = new OwnershipProof();
    mandate.recordStoreProof(1_000);
    mandate.invalidate();
    expect(mandate.isValid(1_000, workers)).toBe(false);
  });
});
