import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";
import type { WorkerRecord } from "./worker_record.ts";

const NOW = { nowMs: 10_000, wallMs: 10_000 };
const RUNNING = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 10, load: 0 };
const AT = { sentAtMs: 9_990, receivedAtMs: 10_000 };

function putJob(scheduler: Scheduler, taskCount = 1): void {
  const job = fixtures.job("j", [testing.schedulingFixtures.step({ taskCount })]);
  scheduler.putJob(job, { acceptedRevision: 10, seenAtMs: 9_900 });
}

/** The orders of a decision, as kind, task and worker. */
function orders(scheduler: Scheduler): string[] {
  return scheduler.decide(NOW).flatMap((order) =>
    "run" in order ? [`${order.kind} ${order.run.task.name} ${order.run.workerId}`] : []
  );
}

// Guards against a task that counts as running for good on a worker that is not tracked any more.
test.each<{ readonly name: string; readonly remove: (scheduler: Scheduler) => void }>([
  {
    name: "its VM was listed as down",
    remove: (scheduler) => {
      const vm = { vm: "vm-w1", pool: "pool", state: "down", labels: [] } as const;
      const listed = [{ ...vm, total: fixtures.TOTAL, workerId: undefined }];
      scheduler.applyVmList(listed, { askedAtMs: 9_995, nowMs: 9_996 });
    },
  },
  {
    name: "its VM was moved",
    remove: (scheduler) => scheduler.dropWorker(scheduler.workers.get("w1")!, 9_995, "a move"),
  },
  {
    name: "its process was restarted",
    remove: (scheduler) => {
      scheduler.putWorker(fixtures.workerInfo("w1", { startedUnixMs: 2 }), 9_995);
    },
  },
  {
    name: "its registration was removed while it ran nothing",
    remove: (scheduler) => {
      scheduler.recordWorkerUnlisted("w1");
      scheduler.expireLeases(9_995);
    },
  },
])("takes over no run from a report that arrives after $name", ({ remove }) => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  putJob(scheduler);
  const removed = scheduler.workers.get("w1")!;
  remove(scheduler);
  scheduler.applyReport(removed, fixtures.emptyReport({ running: [RUNNING] }), AT);
  expect(removed.runs.size).toBe(0);
  expect(orders(scheduler)).toEqual(["start j.0.0.0 w2"]);
});

// Guards against a sound run that a new owner stops because its worker's registration lapsed for a moment.
test("keeps the runs of a worker whose registration lapses before its first report", () => {
  const scheduler = fixtures.scheduler(["w2"]);
  putJob(scheduler);
  const worker = scheduler.putWorker(fixtures.workerInfo("w1"), 0)!;
  scheduler.recordWorkerUnlisted("w1");
  scheduler.expireLeases(9_900);
  scheduler.applyReport(worker, fixtures.emptyReport({ running: [RUNNING] }), AT);
  expect(scheduler.putWorker(fixtures.workerInfo("w1"), 10_000)).toBe(worker);
  expect([...worker.runs.values()].map(({ task }) => task.name)).toEqual(["j.0.0.0"]);
  expect(orders(scheduler)).toEqual([]);
});

function doneEnd(index: number, endNumber = index + 1): schema.scheduling.ReportedEnd {
  return { endNumber, task: `j.0.0.${index}`, runId: 1, kind: "done", checkpoint: "" };
}

/** A new owner with one worker, which ran the two tasks of a job for its predecessor. */
function takeoverFixture(): { scheduler: Scheduler; worker: WorkerRecord } {
  const scheduler = fixtures.unsettledScheduler(2);
  scheduler.setConfig(fixtures.config());
  scheduler.putJob(fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 2 })]), {
    acceptedRevision: 1,
    seenAtMs: 0,
  });
  return { scheduler, worker: scheduler.putWorker(fixtures.workerInfo("w1"), 0)! };
}

const LISTED = [
  { vm: "vm-w1", pool: "pool", state: "up", total: fixtures.TOTAL, labels: [], workerId: "w1" },
] as const;

// Guards against tasks that start again because a worker has more ends than a report lists.
test("starts no task at a takeover before the worker has listed all its ends", () => {
  const { scheduler, worker } = takeoverFixture();
  scheduler.applyReport(
    worker,
    fixtures.emptyReport({ ends: [doneEnd(0)], hasMoreEnds: true }),
    AT,
  );
  scheduler.applyVmList(LISTED, { askedAtMs: 10_010, nowMs: 10_020 });
  expect([scheduler.isSettled, scheduler.hasUnlistedEnds(10_020)]).toEqual([false, true]);
  expect(orders(scheduler)).toEqual([]);
  scheduler.applyReport(worker, fixtures.emptyReport({ ends: [doneEnd(1)] }), AT);
  scheduler.applyVmList(LISTED, { askedAtMs: 10_030, nowMs: 10_040 });
  expect([scheduler.isSettled, scheduler.hasUnlistedEnds(10_040)]).toEqual([true, false]);
  expect(orders(scheduler)).toEqual([]);
  expect(scheduler.jobs.get("j")!.state).toBe("complete");
});

test("waits for unlisted ends only while the worker answers", () => {
  const { scheduler, worker } = takeoverFixture();
  const report = fixtures.emptyReport({ ends: [doneEnd(0)], hasMoreEnds: true });
  scheduler.applyReport(worker, report, AT);
  expect(scheduler.hasUnlistedEnds(AT.receivedAtMs + 6_000)).toBe(true);
  expect(scheduler.hasUnlistedEnds(AT.receivedAtMs + 7_000)).toBe(false);
});

const HIDDEN_ENDS: readonly {
  readonly name: string;
  readonly report: Partial<schema.scheduling.WorkerReport>;
}[] = [
  { name: "the report has no room for", report: { ends: [doneEnd(0)], hasMoreEnds: true } },
  {
    name: "follows one of a job that is not loaded yet",
    report: { ends: [{ ...doneEnd(0), task: "later.0.0.0" }, doneEnd(1, 2)] },
  },
];

test.each(HIDDEN_ENDS)("keeps a run whose end $name", ({ report }) => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  putJob(scheduler, 2);
  for (const order of scheduler.decide(NOW)) {
    const { run } = order as Extract<typeof order, { kind: "start" }>;
    const outcome = { kind: "done", workerClockMs: 1_000 } as const;
    scheduler.recordStartOutcome(run, outcome, { nowMs: 9_000, isRepeated: false });
  }
  const worker = scheduler.workers.get("w1")!;
  const running = [RUNNING].filter(() => report.hasMoreEnds !== true);
  scheduler.applyReport(worker, fixtures.emptyReport({ running, ...report }), AT);
  expect(scheduler.jobs.get("j")!.step(0, 0)!.task(1)!.run).toBeDefined();
  expect(orders(scheduler)).toEqual([]);
});

test("settles no takeover by a report whose ends are not all applied", () => {
  const { scheduler, worker } = takeoverFixture();
  const ends = [{ ...doneEnd(0), task: "later.0.0.0" }, doneEnd(1, 2)];
  scheduler.applyReport(worker, fixtures.emptyReport({ ends }), AT);
  scheduler.applyVmList(LISTED, { askedAtMs: 10_010, nowMs: 10_020 });
  expect(scheduler.isSettled).toBe(false);
});

/** A worker whose only run has been given up, as the worker's lease had expired. */
function lostRunFixture(): { scheduler: Scheduler; worker: WorkerRecord } {
  const scheduler = fixtures.scheduler(["w1"]);
  putJob(scheduler);
  expect(orders(scheduler)).toEqual(["start j.0.0.0 w1"]);
  scheduler.expireLeases(NOW.nowMs);
  return { scheduler, worker: scheduler.workers.get("w1")! };
}

/** The stops of a decision, as kind, task and run id. */
function stops(scheduler: Scheduler): string[] {
  return scheduler.decide(NOW).flatMap((order) => {
    if (order.kind === "stop") {
      return [`stop ${order.run.task.name} ${order.run.runId}`];
    }
    return order.kind === "stop-stray" ? [`stop-stray ${order.task} ${order.runId}`] : [];
  });
}

const LAPSED_END = { ...RUNNING, endNumber: 1, kind: "lapsed" } as const;

interface LostRunCase {
  readonly name: string;
  readonly prepare?: (scheduler: Scheduler) => void;
  readonly report: Partial<schema.scheduling.WorkerReport>;
  readonly stops: readonly string[];
  readonly isSettled: boolean;
}

const LOST_RUNS: readonly LostRunCase[] = [
  {
    name: "is at work, and its job has been cancelled",
    prepare: (scheduler) => scheduler.cancelJob("j"),
    report: { running: [RUNNING] },
    stops: ["stop j.0.0.0 1"],
    isSettled: true,
  },
  {
    name: "is at work, and its task has been started on another worker",
    prepare: (scheduler) => {
      const other = scheduler.putWorker(fixtures.workerInfo("w2"), 9_990)!;
      scheduler.applyReport(other, fixtures.emptyReport(), AT);
      expect(orders(scheduler)).toEqual(["start j.0.0.0 w2"]);
    },
    report: { running: [RUNNING] },
    stops: ["stop j.0.0.0 1"],
    isSettled: true,
  },
  {
    name: "is at work and still needed",
    report: { running: [RUNNING] },
    stops: [],
    isSettled: true,
  },
  {
    name: "is at work, and its job has been retired",
    prepare: (scheduler) => {
      scheduler.cancelJob("j");
      scheduler.retireJob("j", "cancelled");
    },
    report: { running: [RUNNING] },
    stops: ["stop-stray j.0.0.0 1"],
    isSettled: false,
  },
  { name: "is not listed", report: {}, stops: ["stop-stray j.0.0.0 1"], isSettled: false },
  {
    name: "may be among the ends that the report has no room for",
    report: { hasMoreEnds: true },
    stops: [],
    isSettled: false,
  },
  {
    name: "is listed with its end",
    report: { ends: [LAPSED_END] },
    stops: [],
    isSettled: true,
  },
  {
    name: "is listed with its end after one of a job that is not loaded yet",
    report: {
      ends: [{ ...LAPSED_END, task: "later.0.0.0" }, { ...LAPSED_END, endNumber: 2 }],
    },
    stops: [],
    isSettled: true,
  },
];

// Guards against a run that works on unknown to the owner, as its worker's lease seemed to have expired.
test.each(LOST_RUNS)(
  "asks about a run given up without evidence, and stops it if need be, when it $name",
  ({ prepare, report, stops: expected, isSettled }) => {
    const { scheduler, worker } = lostRunFixture();
    prepare?.(scheduler);
    expect([worker.strayRuns.isReportDue, worker.isSchedulable(NOW.nowMs)]).toEqual([true, false]);
    scheduler.applyReport(worker, fixtures.emptyReport(report), AT);
    expect(stops(scheduler)).toEqual(expected);
    expect(worker.strayRuns.size).toBe(isSettled ? 0 : 1);
  },
);

// Guards against a start that is carried out after its run was given up and the worker had no run to list.
test("orders the stop of a lost run again until it is accepted and a later report lacks the run", () => {
  const { scheduler, worker } = lostRunFixture();
  const lost = { task: "j.0.0.0", runId: 1 };
  const report = (sentAtMs: number, running: readonly (typeof RUNNING)[] = []) => {
    const at = { sentAtMs, receivedAtMs: sentAtMs + 10 };
    scheduler.applyReport(worker, fixtures.emptyReport({ running: [...running] }), at);
    return stops(scheduler);
  };
  expect(report(10_010)).toEqual(["stop-stray j.0.0.0 1"]);
  expect([worker.strayRuns.isReportDue, report(10_030)]).toEqual([false, []]);
  worker.strayRuns.recordStop(lost, undefined);
  expect([worker.strayRuns.isReportDue, report(10_110)]).toEqual([true, ["stop-stray j.0.0.0 1"]]);
  worker.strayRuns.recordStop(lost, 10_200);
  expect([worker.strayRuns.isReportDue, report(10_190)]).toEqual([true, []]);
  expect(worker.isSchedulable(10_200)).toBe(false);
  expect(report(10_300)).toEqual([]);
  expect([worker.strayRuns.size, worker.isSchedulable(10_300)]).toEqual([0, true]);
});

test("stops a run of a retired job again if it is at work a second after the worker accepted a stop", () => {
  const { scheduler, worker } = lostRunFixture();
  scheduler.cancelJob("j");
  scheduler.retireJob("j", "cancelled");
  const report = (sentAtMs: number) => {
    const at = { sentAtMs, receivedAtMs: sentAtMs + 10 };
    scheduler.applyReport(worker, fixtures.emptyReport({ running: [RUNNING] }), at);
    return stops(scheduler);
  };
  expect(report(10_000)).toEqual(["stop-stray j.0.0.0 1"]);
  worker.strayRuns.recordStop({ task: "j.0.0.0", runId: 1 }, 10_100);
  expect(report(11_000)).toEqual([]);
  expect(report(11_200)).toEqual(["stop-stray j.0.0.0 1"]);
});

// Guards against a burst of stops for one run while no decision is made, as without a proof of the ownership.
test("orders one stop for a run of a job that was cancelled before it was known, however many reports", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  const worker = scheduler.workers.get("w1")!;
  scheduler.cancelJob("j");
  for (let sentAtMs = 9_000; sentAtMs < 10_000; sentAtMs += 80) {
    const at = { sentAtMs, receivedAtMs: sentAtMs + 10 };
    scheduler.applyReport(worker, fixtures.emptyReport({ running: [RUNNING] }), at);
  }
  expect(stops(scheduler)).toEqual(["stop-stray j.0.0.0 1"]);
});

// Guards against a run that counts as at work while a stop that cannot be recalled is on its way.
test("takes a run for stopping that starts after its stop was ordered", () => {
  const { scheduler, worker } = lostRunFixture();
  scheduler.applyReport(worker, fixtures.emptyReport(), AT);
  expect(stops(scheduler)).toEqual(["stop-stray j.0.0.0 1"]);
  scheduler.applyReport(worker, fixtures.emptyReport({ running: [RUNNING] }), AT);
  expect([...worker.runs.values()].map(({ state }) => state)).toEqual(["stopping"]);
  expect(stops(scheduler)).toEqual(["stop j.0.0.0 1"]);
});

test("keeps an unlisted worker until its lost runs are settled, and none of them after a restart", () => {
  const { scheduler, worker } = lostRunFixture();
  scheduler.recordWorkerUnlisted("w1");
  scheduler.expireLeases(10_000);
  expect(scheduler.workers.get("w1")).toBe(worker);
  const restarted = scheduler.putWorker(fixtures.workerInfo("w1", { startedUnixMs: 2 }), 10_000)!;
  expect(restarted.strayRuns.size).toBe(0);
  expect(stops(scheduler)).toEqual([]);
});
