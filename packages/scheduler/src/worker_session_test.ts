import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { expect, test, vi } from "vitest";
import { useSimulatedTime } from "./test/model_world.ts";
import { putJob, type TermFixture, termFixture } from "./test/term_fixture.ts";
import { WorkerSession } from "./worker_session.ts";

const TOTAL = { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 };

const WORKER = {
  workerId: "w",
  vm: "vm",
  pool: "pool",
  address: "w",
  isDraining: false,
  total: TOTAL,
  labels: [],
  startedUnixMs: 1,
};

/** Runs a session of an owner that may give orders. */
function openSession(
  parts: TermFixture,
  client: Partial<ports.scheduling.WorkerClient>,
): WorkerSession {
  const session = new WorkerSession({
    ...parts,
    worker: parts.scheduler.putWorker(WORKER, Date.now())!,
    client: client as ports.scheduling.WorkerClient,
    fencingToken: 1,
    canIssueOrders: () => true,
    isCapacityConfirmed: () => true,
    needsWorkerProof: () => false,
    onWorkerProof: () => {},
    onReplaced: () => {},
    onChange: () => {},
    onFenced: () => {},
  });
  void session.run();
  return session;
}

/** A session with a busy worker that lists one task end until it is acknowledged. */
function openSessionWithOneEnd(): { session: WorkerSession; acknowledgedEnds: number[] } {
  const parts = termFixture();
  const { scheduler } = parts;
  scheduler.retireJob("ended", "complete");
  putJob(scheduler, "running");
  const end = {
    endNumber: 1,
    task: "ended.0.0.0",
    runId: 1,
    kind: "done",
    checkpoint: "",
  } as const;
  const running = [{ task: "running.0.0.0", runId: 1, checkpoint: "", percent: 1, load: 0 }];
  /** The last end acknowledged by each report request. */
  const acknowledgedEnds: number[] = [];
  const session = openSession(parts, {
    hold: async (_worker, { acknowledgedEnd, waitMs }) => {
      acknowledgedEnds.push(acknowledgedEnd);
      const ends = acknowledgedEnd < 1 ? [end] : [];
      await testing.waitFor.pause(ends.length > 0 ? 2 : waitMs + 2);
      return {
        kind: "report",
        report: { startedUnixMs: 1, workerClockMs: Date.now(), running, ends, hasMoreEnds: false },
      };
    },
  });
  return { session, acknowledgedEnds };
}

useSimulatedTime();

test("polls rarely while task ends wait for the journal, and at once when they are stored", async () => {
  const { session, acknowledgedEnds } = openSessionWithOneEnd();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(acknowledgedEnds.length).toBeGreaterThan(5);
  expect(acknowledgedEnds.length).toBeLessThanOrEqual(20);
  expect(new Set(acknowledgedEnds)).toEqual(new Set([0]));
  session.markEndsStored(1);
  await vi.advanceTimersByTimeAsync(100);
  expect(acknowledgedEnds.at(-1)).toBe(1);
  session.stop();
});

const UNRESPONSIVE = [
  { name: "is refused", failureMs: 2, period: { minMs: 850, maxMs: 950 } },
  { name: "times out", failureMs: 700, period: { minMs: 850, maxMs: 950 } },
];

test.each(UNRESPONSIVE)(
  "asks an idle worker less and less often when each request $name, and at once when its entry changes",
  async ({ failureMs, period }) => {
    const askedAtMs: number[] = [];
    const session = openSession(termFixture(), {
      hold: async () => {
        askedAtMs.push(Date.now());
        await testing.waitFor.pause(failureMs);
        return { kind: "unknown", reason: "test" };
      },
    });
    await vi.advanceTimersByTimeAsync(10_000);
    const gapMs = askedAtMs.at(-1)! - askedAtMs.at(-2)!;
    expect(gapMs).toBeGreaterThan(period.minMs);
    expect(gapMs).toBeLessThan(period.maxMs);
    const count = askedAtMs.length;
    while (askedAtMs.length === count) {
      await vi.advanceTimersByTimeAsync(1);
    }
    await vi.advanceTimersByTimeAsync(failureMs + 50);
    session.retryNow();
    await vi.advanceTimersByTimeAsync(1);
    expect(askedAtMs).toHaveLength(count + 2);
    session.stop();
  },
);

/** A session with one run at work, on a worker that reports it until it has accepted a stop, or `finish`. */
function openSessionWithOneRun(
  stop: ports.scheduling.WorkerClient["stop"],
  { endsAtStop = true, pace }: {
    endsAtStop?: boolean;
    pace?: ports.scheduling.WorkerClient["pace"];
  } = {},
): {
  session: WorkerSession;
  run: policy.scheduling.jobRecord.Run;
  isAtWork: () => boolean;
  finish: () => void;
} {
  const parts = termFixture();
  const { scheduler } = parts;
  putJob(scheduler, "j");
  let isAtWork = true;
  const reported = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 1, load: 0 };
  const session = openSession(parts, {
    hold: async (_worker, { waitMs }) => {
      await testing.waitFor.pause(waitMs + 2);
      const running = isAtWork ? [reported] : [];
      const report = { startedUnixMs: 1, workerClockMs: Date.now(), running, ends: [] };
      return { kind: "report", report: { ...report, hasMoreEnds: false } };
    },
    ...(pace === undefined ? {} : { pace }),
    stop: async (worker, order) => {
      const outcome = await stop(worker, order);
      isAtWork &&= !endsAtStop || outcome.kind !== "done";
      return outcome;
    },
  });
  const atMs = { sentAtMs: Date.now(), receivedAtMs: Date.now() };
  const report = { startedUnixMs: 1, workerClockMs: 1_000, running: [reported], ends: [] };
  scheduler.applyReport(session.worker, { ...report, hasMoreEnds: false }, atMs);
  const [run] = session.worker.runs.values();
  return { session, run: run!, isAtWork: () => isAtWork, finish: () => isAtWork = false };
}

// Guards against a cancelled job that works on, as its worker has refused the stop.
test.each<{ readonly name: string; readonly outcome: schema.scheduling.OrderOutcome }>([
  { name: "refuses", outcome: { kind: "refused", reason: "429" } },
  { name: "does not answer", outcome: { kind: "unknown", reason: "test" } },
])("repeats a stop that the worker first $name until it is carried out", async ({ outcome }) => {
  let stopCount = 0;
  const { session, run, isAtWork } = openSessionWithOneRun(() => {
    stopCount++;
    const done = { kind: "done", workerClockMs: 1_000 } as const;
    return Promise.resolve(stopCount <= 3 ? outcome : done);
  });
  void session.stopRun(run, "test");
  await vi.advanceTimersByTimeAsync(5_000);
  expect([isAtWork(), session.worker.runs.size, stopCount]).toEqual([false, 0, 4]);
  session.stop();
});

/** A stop takes up to 0.9 s, and a cancelled job's runs have to be over 4 s after its cancellation. */
const STOP_REPEAT_MS = { min: 900, max: 3_000 };

// Guards against a cancelled job that works on, as its worker has accepted the stop and not carried it out.
test.each([0, 200, 400, 600, 800, 1_000, 1_200, 1_400])(
  "repeats an accepted stop in time if reports still list the run, %d ms into a report",
  async (offsetMs) => {
    const stoppedAtMs: number[] = [];
    const { session, run, finish } = openSessionWithOneRun(() => {
      stoppedAtMs.push(Date.now());
      if (stoppedAtMs.length === 2) {
        finish();
      }
      return Promise.resolve({ kind: "done", workerClockMs: 1_000 });
    }, { endsAtStop: false });
    await vi.advanceTimersByTimeAsync(5_000 + offsetMs);
    void session.stopRun(run, "test");
    await vi.advanceTimersByTimeAsync(8_000);
    expect([session.worker.runs.size, stoppedAtMs.length]).toEqual([0, 2]);
    const repeatedAfterMs = stoppedAtMs[1]! - stoppedAtMs[0]!;
    expect(repeatedAfterMs).toBeGreaterThanOrEqual(STOP_REPEAT_MS.min);
    expect(repeatedAfterMs).toBeLessThanOrEqual(STOP_REPEAT_MS.max);
    session.stop();
  },
);

test.each<{ readonly outcome: schema.scheduling.OrderOutcome; readonly isUncertain: boolean }>([
  { outcome: { kind: "refused", reason: "429" }, isUncertain: true },
  { outcome: { kind: "unknown", reason: "test" }, isUncertain: true },
  { outcome: { kind: "done", workerClockMs: 1_000 }, isUncertain: false },
])("a speed order with the outcome $outcome.kind is repeated: $isUncertain", async (given) => {
  const never = () => new Promise<never>(() => {});
  const pace = () => Promise.resolve(given.outcome);
  const { session, run } = openSessionWithOneRun(never, { pace });
  run.pacePercent = 0;
  await session.pace(run, 0);
  expect(run.isPaceUncertain).toBe(given.isUncertain);
  session.stop();
});

test("repeats a start that the worker's VM refuses to connect at a pace, not in a busy loop", async () => {
  const parts = termFixture();
  const { scheduler } = parts;
  scheduler.setConfig({
    version: 1,
    maxBodyBytes: 1_000,
    queues: [testing.schedulingFixtures.queue("quick")],
    pools: [{ name: "pool", isStandby: false }],
    workspaces: [{ name: "acme", keys: [], weight: 1, limit: { ...TOTAL, cpuMillicores: 0 } }],
  });
  let startCount = 0;
  const session = openSession(parts, {
    hold: () => Promise.resolve({ kind: "unknown", reason: "connection refused" }),
    start: async () => {
      startCount++;
      await testing.waitFor.pause(1);
      return { kind: "unknown", reason: "connection refused", isSent: false };
    },
  });
  scheduler.applyReport(
    session.worker,
    { startedUnixMs: 1, workerClockMs: 1_000, running: [], ends: [], hasMoreEnds: false },
    { sentAtMs: Date.now(), receivedAtMs: Date.now() },
  );
  scheduler.settle(Date.now(), "test");
  putJob(scheduler, "job");
  const [order] = scheduler.decide({ nowMs: Date.now(), wallMs: Date.now() });
  void session.start((order as Extract<typeof order, { kind: "start" }>).run, undefined);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(startCount).toBeGreaterThan(2);
  expect(startCount).toBeLessThan(10);
  session.stop();
});

// Guards against a run at work that nobody stops, as its worker is not asked after its lease has expired.
test("asks a worker whose lease has expired, stops what it did not list, and then leaves it alone", async () => {
  const parts = termFixture();
  const { scheduler } = parts;
  putJob(scheduler, "j");
  const reported = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 1, load: 0 };
  const outcomes: schema.scheduling.OrderOutcome[] = [
    { kind: "refused", reason: "429" },
    { kind: "unknown", reason: "test" },
    { kind: "done", workerClockMs: 1_000 },
  ];
  let isReachable = false;
  let askedCount = 0;
  let stopCount = 0;
  const session = openSession(parts, {
    hold: async () => {
      askedCount++;
      await testing.waitFor.pause(2);
      const report = { startedUnixMs: 1, workerClockMs: Date.now(), running: [], ends: [] };
      return isReachable
        ? { kind: "report", report: { ...report, hasMoreEnds: false } }
        : { kind: "unknown", reason: "test" };
    },
    stop: async () => {
      await testing.waitFor.pause(2);
      return outcomes[stopCount++]!;
    },
  });
  const { worker } = session;
  const report = { startedUnixMs: 1, workerClockMs: 1_000, running: [reported], ends: [] };
  const at = { sentAtMs: Date.now(), receivedAtMs: Date.now() };
  scheduler.applyReport(worker, { ...report, hasMoreEnds: false }, at);
  scheduler.cancelJob("j");
  await vi.advanceTimersByTimeAsync(7_000);
  scheduler.decide({ nowMs: Date.now(), wallMs: Date.now() });
  scheduler.expireLeases(Date.now());
  expect(worker.runs.size).toBe(0);
  isReachable = true;
  const askedBefore = askedCount;
  for (let step = 0; step < 50; step++) {
    await vi.advanceTimersByTimeAsync(100);
    for (const order of scheduler.decide({ nowMs: Date.now(), wallMs: Date.now() })) {
      expect(order).toEqual({ kind: "stop-stray", workerId: "w", task: "j.0.0.0", runId: 1 });
      void session.stopStrayRun("j.0.0.0", 1);
    }
  }
  expect([stopCount, worker.strayRuns.isReportDue]).toEqual([3, false]);
  expect(askedCount - askedBefore).toBeGreaterThanOrEqual(4);
  expect(askedCount - askedBefore).toBeLessThanOrEqual(5);
  session.stop();
});

const START_ANSWERS: readonly {
  readonly name: string;
  /** The worker's clock in the answer to the start, if there is one. */
  readonly workerClockMs: (nowMs: number) => number | undefined;
  readonly firstAcknowledgedEnd: number;
  /** The start time in the worker's reports; one that gives none must get its acknowledgements too. */
  readonly startedUnixMs?: number | undefined;
}[] = [
  {
    name: "gets no answer, of a worker whose reports lack its start time",
    workerClockMs: () => undefined,
    firstAcknowledgedEnd: 0,
    startedUnixMs: undefined,
  },
  { name: "gets no answer", workerClockMs: () => undefined, firstAcknowledgedEnd: 0 },
  { name: "shows a younger process", workerClockMs: () => 3_000, firstAcknowledgedEnd: 0 },
  { name: "shows the same process", workerClockMs: (nowMs) => nowMs, firstAcknowledgedEnd: 7 },
];

// Guards against ends of a restarted worker that it discards, as an earlier incarnation had ends of their numbers.
test.each(START_ANSWERS)(
  "after a start whose answer $name, first acknowledges end $firstAcknowledgedEnd",
  async ({ workerClockMs, firstAcknowledgedEnd, ...given }) => {
    const { startedUnixMs } = { startedUnixMs: 1, ...given };
    const parts = termFixture();
    const { scheduler } = parts;
    scheduler.setConfig({
      version: 1,
      queues: [testing.schedulingFixtures.queue("quick")],
      pools: [],
      workspaces: [],
      maxBodyBytes: 1,
    });
    scheduler.settle(0, "test");
    /** The end acknowledged by each report request, with the time of the request. */
    const acknowledged: { readonly atMs: number; readonly end: number }[] = [];
    let startedAtMs = Infinity;
    const session = openSession(parts, {
      hold: async (_worker, { acknowledgedEnd, waitMs }) => {
        acknowledged.push({ atMs: Date.now(), end: acknowledgedEnd });
        // The request that is sent together with the start gets no answer.
        const isAnswered = Date.now() !== startedAtMs;
        await testing.waitFor.pause(waitMs + 2);
        if (!isAnswered) {
          return { kind: "unknown", reason: "test" };
        }
        const reported = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 1, load: 0 };
        const running = startedAtMs === Infinity ? [] : [reported];
        const report = { startedUnixMs, workerClockMs: Date.now(), running, ends: [] };
        return { kind: "report", report: { ...report, hasMoreEnds: false } };
      },
      start: async () => {
        await testing.waitFor.pause(1);
        const clockMs = workerClockMs(Date.now());
        return clockMs === undefined
          ? { kind: "unknown", reason: "test" }
          : { kind: "done", workerClockMs: clockMs };
      },
    });
    await vi.advanceTimersByTimeAsync(1_000);
    session.markEndsStored(7);
    await vi.advanceTimersByTimeAsync(9_000);
    putJob(scheduler, "j");
    startedAtMs = Date.now();
    const [order] = scheduler.decide({ nowMs: startedAtMs, wallMs: startedAtMs });
    void session.start((order as Extract<typeof order, { kind: "start" }>).run, undefined);
    await vi.advanceTimersByTimeAsync(3_000);
    session.stop();
    const ends = acknowledged.filter(({ atMs }) => atMs > startedAtMs).map(({ end }) => end);
    expect(ends[0]).toBe(firstAcknowledgedEnd);
    expect(ends.at(-1)).toBe(7);
  },
);
