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
