import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { expect, test } from "vitest";
import { JobRecord } from "./job_record.ts";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";

const MB = 1_048_576;
/** An owner has 160 MB for everything. */
const MAX_JOBS_MB = 16;
const START_MS = 100_000;
const INTERVAL_MS = 60_000;

v8.setFlagsFromString("--expose_gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

function usedMb(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed / MB;
}

function timedJob(
  jobId: string,
  { occurrenceCount, taskCount = 1, ...given }: {
    readonly occurrenceCount: number;
  } & Partial<schema.scheduling.Step>,
): schema.scheduling.Job {
  const step = testing.schedulingFixtures.step({ taskCount, ...given });
  const timetable = { occurrenceCount, startUnixMs: START_MS, intervalMs: INTERVAL_MS };
  return fixtures.job(jobId, [], { spec: { payload: "p", steps: [step], timetable } });
}

const SMALL = { cpuMillicores: 10, memoryMb: 1, gpuCount: 0 };
const WEEK = { occurrenceCount: 10_080, taskCount: 9, resources: SMALL };

// Guards against accepted jobs that end each owner in turn, as their tasks don't fit into its memory.
test.each<{
  readonly name: string;
  readonly jobs: readonly schema.scheduling.Job[];
  readonly wallMs: number;
  readonly startCount: number;
}>([
  {
    name: "timed jobs of which nothing is due",
    jobs: ["a", "b", "c", "d", "e", "f"].map((jobId) => timedJob(jobId, WEEK)),
    wallMs: 0,
    startCount: 0,
  },
  {
    name: "timed jobs of which all is due",
    jobs: ["a", "b", "c"].map((jobId) => timedJob(jobId, WEEK)),
    wallMs: START_MS + 10_080 * INTERVAL_MS,
    startCount: 3 * 64 * 9,
  },
  {
    name: "steps of 100,000 tasks",
    jobs: ["a", "b", "c"].map((jobId) =>
      fixtures.job(jobId, [
        testing.schedulingFixtures.step({ taskCount: 100_000, resources: SMALL }),
      ])
    ),
    wallMs: 0,
    startCount: 2 * 1_600,
  },
])("holds $name in little memory", ({ jobs, wallMs, startCount }) => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  const beforeMb = usedMb();
  jobs.forEach((job) => scheduler.putJob(job, { acceptedRevision: 10, seenAtMs: 0 }));
  expect(scheduler.decide({ nowMs: 0, wallMs })).toHaveLength(startCount);
  expect(usedMb() - beforeMb).toBeLessThan(MAX_JOBS_MB);
  expect(scheduler.jobs.size).toBe(jobs.length);
});

/** Ends runs as done on their workers. */
function endRuns(scheduler: Scheduler, nowMs: number): void {
  for (const worker of scheduler.workers.values()) {
    const ends = [...worker.runs.values()].map(({ task, runId }, index) => ({
      endNumber: worker.ends.processed + index + 1,
      task: task.name,
      runId,
      kind: "done" as const,
      checkpoint: "",
    }));
    const at = { sentAtMs: nowMs - 1, receivedAtMs: nowMs };
    scheduler.applyReport(worker, fixtures.emptyReport({ ends }), at);
  }
}

// Guards against occurrences that are forgotten, or run again, as their records come and go.
test.each([
  { name: "whose tasks are stored one by one", occurrenceCount: 300 },
  { name: "whose occurrences are stored as ranges", occurrenceCount: 2_500 },
])("runs each task of an overdue timed job $name once, over changes of owner", (given) => {
  const job = timedJob("j", { ...given, resources: SMALL });
  const wallMs = START_MS + given.occurrenceCount * INTERVAL_MS;
  const started: string[] = [];
  let progress: schema.scheduling.JobProgress | undefined;
  for (let term = 1; progress?.state !== "complete"; term++) {
    const scheduler = fixtures.scheduler(["w1"], { term });
    scheduler.putJob(job, { acceptedRevision: 1, seenAtMs: 0, progress });
    for (let nowMs = 100; nowMs <= 500; nowMs += 100) {
      const orders = scheduler.decide({ nowMs, wallMs });
      started.push(...orders.flatMap((order) => "run" in order ? [order.run.task.name] : []));
      endRuns(scheduler, nowMs + 50);
    }
    const record = scheduler.jobs.get("j")!;
    expect(record.knownSteps.length).toBeLessThan(200);
    progress = JSON.parse(JSON.stringify(record.progress())) as schema.scheduling.JobProgress;
  }
  expect(started).toHaveLength(given.occurrenceCount);
  expect(new Set(started).size).toBe(given.occurrenceCount);
});

test("stores the progress of a long timetable in little space", () => {
  const job = new JobRecord(timedJob("j", WEEK), { acceptedRevision: 1, seenAtMs: 0 });
  for (let occurrence = 0; occurrence < WEEK.occurrenceCount; occurrence++) {
    if (occurrence % 100 !== 50) {
      job.step(occurrence, 0)!.markEveryTaskDone();
    }
  }
  const progress = job.progress();
  expect(JSON.stringify(progress).length).toBeLessThan(10_000);
  const restored = new JobRecord(job.job, { acceptedRevision: 1, seenAtMs: 0 });
  restored.restore(progress);
  const ready = restored.readySteps(Number.MAX_SAFE_INTEGER);
  expect(ready.slice(0, 2).map(({ occurrence }) => occurrence)).toEqual([50, 150]);
});

test("keeps a job whose finished occurrence still has a run until that is over", () => {
  const job = new JobRecord(timedJob("j", WEEK), { acceptedRevision: 1, seenAtMs: 0 });
  job.step(7, 0)!.markEveryTaskDone();
  const step = job.step(7, 0)!;
  const run = fixtures.run(step, fixtures.openWorker("w1"));
  step.assign(run.task, run);
  expect([step.isDone, step.waitingCount, job.runs()]).toEqual([true, 0, [run]]);
  step.release(run.task);
  expect([job.runs(), job.knownSteps]).toEqual([[], []]);
});

test.each([
  { name: "before the first", wallMs: START_MS - 1, dueCount: 0 },
  { name: "at the first", wallMs: START_MS, dueCount: 1 },
  { name: "just before the second", wallMs: START_MS + INTERVAL_MS - 1, dueCount: 1 },
  { name: "at the second", wallMs: START_MS + INTERVAL_MS, dueCount: 2 },
  { name: "after the last", wallMs: START_MS + 100 * INTERVAL_MS, dueCount: 3 },
])("has $dueCount occurrences ready $name", ({ wallMs, dueCount }) => {
  const job = timedJob("j", { occurrenceCount: 3 });
  const record = new JobRecord(job, { acceptedRevision: 1, seenAtMs: 0 });
  expect(record.readySteps(wallMs)).toHaveLength(dueCount);
});
