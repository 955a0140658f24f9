import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import type { Run } from "./job_record.ts";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";
import type { WorkerRecord } from "./worker_record.ts";

const SENT_MS = 10_000;
const ANSWERED_MS = 10_010;
const RESTART_SEEN_MS = 10_100;
/** Later than any lease of the runs. */
const LEASES_END_MS = 30_000;
const RESTARTED = fixtures.workerInfo("w1", { startedUnixMs: 2 });

/** The orders of a decision, as kind and worker. */
function orders(scheduler: Scheduler, nowMs = RESTART_SEEN_MS): string[] {
  return scheduler.decide({ nowMs, wallMs: nowMs }).flatMap((order) =>
    "run" in order ? [`${order.kind} ${order.run.workerId}`] : []
  );
}

/** A job's only task, whose start on worker `w1` is ordered and not sent. */
function orderedRun(): { scheduler: Scheduler; worker: WorkerRecord; run: Run } {
  const scheduler = fixtures.scheduler(["w1"]);
  const job = fixtures.job("j", [testing.schedulingFixtures.step()]);
  scheduler.putJob(job, { acceptedRevision: 10, seenAtMs: 9_900 });
  const [order] = scheduler.decide({ nowMs: SENT_MS, wallMs: SENT_MS });
  const other = scheduler.putWorker(fixtures.workerInfo("w2"), SENT_MS)!;
  const at = { sentAtMs: SENT_MS, receivedAtMs: SENT_MS };
  scheduler.applyReport(other, fixtures.emptyReport(), at);
  const { run } = order as Extract<typeof order, { kind: "start" }>;
  return { scheduler, worker: scheduler.workers.get("w1")!, run };
}

const REPORTED = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 10, load: 0 };
const AT_SENT = { nowMs: ANSWERED_MS, isRepeated: false };

function confirm(scheduler: Scheduler, run: Run): void {
  scheduler.recordStartSent(run, SENT_MS);
  scheduler.recordStartOutcome(run, { kind: "done", workerClockMs: 1_000 }, AT_SENT);
}

/** What has become of the start when the worker's restart is seen. */
const STARTS: readonly {
  readonly name: string;
  readonly prepare: (parts: ReturnType<typeof orderedRun>) => void;
  readonly becomes: "lost" | "kept" | "stopped";
}[] = [
  { name: "has not been sent", prepare: () => {}, becomes: "lost" },
  {
    name: "is under way",
    prepare: ({ scheduler, run }) => scheduler.recordStartSent(run, SENT_MS),
    becomes: "stopped",
  },
  {
    name: "got no answer",
    prepare: ({ scheduler, run }) => {
      scheduler.recordStartSent(run, SENT_MS);
      scheduler.recordStartOutcome(run, { kind: "unknown", reason: "silent" }, AT_SENT);
    },
    becomes: "stopped",
  },
  {
    name: "could not be sent",
    prepare: ({ scheduler, run }) => {
      scheduler.recordStartSent(run, SENT_MS);
      const outcome = { kind: "unknown", reason: "refused", isSent: false } as const;
      scheduler.recordStartOutcome(run, outcome, AT_SENT);
    },
    becomes: "lost",
  },
  {
    name: "was confirmed",
    prepare: ({ scheduler, run }) => confirm(scheduler, run),
    becomes: "kept",
  },
  {
    name: "was confirmed before a report of the previous incarnation",
    prepare: ({ scheduler, worker, run }) => {
      confirm(scheduler, run);
      const report = fixtures.emptyReport({ running: [REPORTED] });
      scheduler.applyReport(worker, report, { sentAtMs: 10_020, receivedAtMs: 10_030 });
    },
    becomes: "lost",
  },
  {
    name: "was confirmed, and a report that was requested before lists the run",
    prepare: ({ scheduler, worker, run }) => {
      confirm(scheduler, run);
      const report = fixtures.emptyReport({ running: [REPORTED] });
      scheduler.applyReport(worker, report, { sentAtMs: 10_005, receivedAtMs: 10_030 });
    },
    becomes: "lost",
  },
];

const SEEN_BY: readonly {
  readonly seenBy: string;
  readonly restart: (scheduler: Scheduler, worker: WorkerRecord) => WorkerRecord | undefined;
}[] = [
  {
    seenBy: "its registration",
    restart: (scheduler) => scheduler.putWorker(RESTARTED, RESTART_SEEN_MS),
  },
  {
    seenBy: "its report",
    restart: (scheduler, worker) =>
      scheduler.replaceWorker(worker, RESTARTED, { nowMs: RESTART_SEEN_MS, reason: "test" }),
  },
];

// Guards against a task that starts elsewhere while the restarted worker may be running it.
test.each(SEEN_BY.flatMap((seen) => STARTS.map((start) => ({ ...seen, ...start }))))(
  "a restart seen by $seenBy when the start $name",
  ({ restart, prepare, becomes }) => {
    const parts = orderedRun();
    prepare(parts);
    const successor = restart(parts.scheduler, parts.worker)!;
    const isKept = becomes !== "lost";
    expect([successor.runs.size, parts.run.task.run]).toEqual(
      isKept ? [1, parts.run] : [0, undefined],
    );
    const stops = orders(parts.scheduler).filter((order) => order.startsWith("stop"));
    expect(stops).toEqual(becomes === "stopped" ? ["stop w1"] : []);
  },
);

test.each([
  { name: "keeps a confirmed run that the restarted worker's report lists", running: [REPORTED] },
  { name: "loses a confirmed run that the restarted worker's report lacks", running: [] },
])(
  "$name",
  ({ running }) => {
    const { scheduler, run } = orderedRun();
    confirm(scheduler, run);
    const successor = scheduler.putWorker(RESTARTED, RESTART_SEEN_MS)!;
    const report = fixtures.emptyReport({ startedUnixMs: 2, running });
    scheduler.applyReport(successor, report, { sentAtMs: 10_110, receivedAtMs: 10_120 });
    expect([successor.runs.size, run.task.isWaiting]).toEqual([
      running.length,
      running.length === 0,
    ]);
  },
);

test("an unconfirmed run is ruled out by a stop and the report after it", () => {
  const { scheduler, run } = orderedRun();
  scheduler.recordStartSent(run, SENT_MS);
  const successor = scheduler.putWorker(RESTARTED, RESTART_SEEN_MS)!;
  const report = fixtures.emptyReport({ startedUnixMs: 2 });
  scheduler.applyReport(successor, report, { sentAtMs: 10_110, receivedAtMs: 10_120 });
  expect(orders(scheduler)).toEqual(["stop w1"]);
  scheduler.recordStopAccepted(run, 10_130);
  scheduler.applyReport(successor, report, { sentAtMs: 10_140, receivedAtMs: 10_150 });
  expect(orders(scheduler)).toEqual(["start w2"]);
});

// Guards against a stale registration that takes the place of the incarnation that has answered.
test.each([{ isListedAlive: false }, { isListedAlive: true }])(
  "ignores the registration of a replaced incarnation, with the worker listed as up: $isListedAlive",
  ({ isListedAlive }) => {
    const { scheduler, worker } = orderedRun();
    const at = { nowMs: RESTART_SEEN_MS, reason: "test" };
    const second = scheduler.replaceWorker(worker, RESTARTED, at)!;
    const third = scheduler.replaceWorker(second, { ...RESTARTED, startedUnixMs: 3 }, at);
    if (isListedAlive) {
      const vm = { vm: "vm-w1", pool: "pool", state: "up", labels: [], workerId: "w1" } as const;
      const listed = [{ ...vm, total: fixtures.TOTAL }];
      scheduler.applyVmList(listed, { askedAtMs: 10_200, nowMs: 10_210 });
    }
    expect(scheduler.putWorker(fixtures.workerInfo("w1"), 10_220)).toBeUndefined();
    expect(scheduler.workers.get("w1")).toBe(third);
  },
);

// Guards against runs that count as over while a lease for the previous incarnation keeps them at work.
test.each([
  { name: "that has reported", hasReported: true, keptForMs: 10_300, lostAfterMs: 10_500 },
  { name: "that has not reported", hasReported: false, keptForMs: 10_600, lostAfterMs: 10_800 },
])(
  "keeps the runs of a restarted worker $name for the longest lease",
  ({ hasReported, keptForMs, lostAfterMs }) => {
    const { scheduler, run } = orderedRun();
    confirm(scheduler, run);
    const successor = scheduler.putWorker(RESTARTED, RESTART_SEEN_MS)!;
    if (hasReported) {
      const report = fixtures.emptyReport({ startedUnixMs: 2, running: [REPORTED] });
      const at = { sentAtMs: RESTART_SEEN_MS, receivedAtMs: RESTART_SEEN_MS };
      scheduler.applyReport(successor, report, at);
    }
    const runsAfter = [keptForMs, lostAfterMs].map((afterMs) => {
      scheduler.expireLeases(RESTART_SEEN_MS + afterMs);
      return successor.runs.size;
    });
    expect(runsAfter).toEqual([1, 0]);
    expect(orders(scheduler, LEASES_END_MS)).toEqual(["start w2"]);
  },
);

const DOWN = { vm: "vm-w1", pool: "pool", state: "down", labels: [], workerId: undefined } as const;

// Guards against a task that starts elsewhere as its worker's VM is listed as down and is up again already.
test.each([
  { name: "that is under way", isAnswered: false, ordersAfter: ["stop w1"] },
  { name: "that was confirmed after the request", isAnswered: true, ordersAfter: [] },
])(
  "keeps a start $name when a list shows the VM as down, until the next list does",
  ({ isAnswered, ordersAfter }) => {
    const { scheduler, worker, run } = orderedRun();
    if (isAnswered) {
      confirm(scheduler, run);
    } else {
      scheduler.recordStartSent(run, SENT_MS);
    }
    const other = { ...DOWN, vm: "vm-w2", state: "up", workerId: "w2" } as const;
    const listed = [DOWN, other].map((vm) => ({ ...vm, total: fixtures.TOTAL }));
    scheduler.applyVmList(listed, { askedAtMs: 10_005, nowMs: 10_015 });
    expect([orders(scheduler, 10_020), worker.runs.size]).toEqual([ordersAfter, 1]);
    scheduler.recordStartOutcome(run, { kind: "unknown", reason: "silent" }, {
      nowMs: 10_400,
      isRepeated: false,
    });
    scheduler.applyVmList(listed, { askedAtMs: 10_450, nowMs: 10_460 });
    expect(orders(scheduler, 10_470)).toEqual(["start w2"]);
  },
);
