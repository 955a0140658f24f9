import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { err, ok } from "neverthrow";
import { describe, expect, test, vi } from "vitest";
import { Journal } from "./journal.ts";
import * as storeKeys from "./store_keys.ts";
import { useSimulatedTime } from "./test/model_world.ts";
import { putJob, termFixture } from "./test/term_fixture.ts";

/** Task ends have to be acknowledged within this time at every known site. */
const ACKNOWLEDGEMENT_BOUND_MS = 4_000;
const STEP_MS = 50;

type JobRecord = policy.scheduling.jobRecord.JobRecord;

interface JournalFixture {
  readonly jobs: readonly JobRecord[];
  readonly journal: Journal;
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  /** Task ends up to this time are confirmed as stored. */
  confirmedAtMs: number;
}

/** A running journal with some jobs, on a store with the given `transact`. */
function journalFixture(
  { jobCount, transact }: {
    readonly jobCount: number;
    readonly transact: ports.scheduling.SchedulingStore["transact"];
  },
): JournalFixture {
  const parts = termFixture();
  const { scheduler } = parts;
  for (let index = 0; index < jobCount; index++) {
    putJob(scheduler, index.toString(16).padStart(16, "0"));
  }
  const result: JournalFixture = {
    jobs: [...scheduler.jobs.values()],
    scheduler,
    confirmedAtMs: Date.now(),
    journal: new Journal({
      ...parts,
      store: { transact } as ports.scheduling.SchedulingStore,
      fencingToken: 1,
      snapshotEnds: () => {
        const atMs = Date.now();
        return () => result.confirmedAtMs = atMs;
      },
      onConflict: () => {},
    }),
  };
  void result.journal.run();
  return result;
}

/** A store that responds to each transaction after `latencyMs`. */
function slowStore(latencyMs: number): ports.scheduling.SchedulingStore["transact"] {
  let revision = 1;
  return async () => {
    await testing.waitFor.pause(latencyMs);
    return ok({ kind: "done", revision: ++revision });
  };
}

useSimulatedTime();

const LOADS = [
  { jobCount: 10, latencyMs: 8 },
  { jobCount: 60, latencyMs: 50 },
  { jobCount: 200, latencyMs: 200 },
];

describe.each(LOADS)("$jobCount jobs change, store latency $latencyMs ms", (load) => {
  const { jobCount, latencyMs } = load;
  test("confirms task ends while jobs change faster than they are stored", async () => {
    const fixture = journalFixture({ jobCount, transact: slowStore(latencyMs) });
    const { jobs, scheduler, journal } = fixture;
    let longestWaitMs = 0;
    for (let elapsedMs = 0; elapsedMs < 3 * ACKNOWLEDGEMENT_BOUND_MS; elapsedMs += STEP_MS) {
      jobs.forEach((job) => scheduler.markDirty(job));
      journal.wake();
      await vi.advanceTimersByTimeAsync(STEP_MS);
      longestWaitMs = Math.max(longestWaitMs, Date.now() - fixture.confirmedAtMs);
    }
    journal.stop();
    expect(longestWaitMs).toBeLessThan(ACKNOWLEDGEMENT_BOUND_MS);
  });
});

test("a flush does not wait for later job changes", async () => {
  const { jobs, scheduler, journal } = journalFixture({ jobCount: 60, transact: slowStore(50) });
  jobs.forEach((job) => scheduler.markDirty(job));
  let isFlushed = false;
  void journal.flush().then(() => isFlushed = true);
  for (let elapsedMs = 0; elapsedMs < 400; elapsedMs += STEP_MS) {
    jobs.forEach((job) => scheduler.markDirty(job));
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  journal.stop();
  expect(isFlushed).toBe(true);
});

test("confirms task ends only once all jobs that they changed are stored", async () => {
  const stored = new Set<string>();
  let callCount = 0;
  const fixture = journalFixture({
    jobCount: 40,
    transact: async ({ puts }) => {
      await testing.waitFor.pause(20);
      if (++callCount === 2) {
        return err(new schema.errors.StoreUnavailableError("The store did not answer"));
      }
      puts.forEach(({ key }) => stored.add(key));
      return ok({ kind: "done", revision: callCount });
    },
  });
  const { jobs, scheduler, journal } = fixture;
  jobs.forEach((job) => scheduler.markDirty(job));
  journal.wake();
  const startedAtMs = Date.now();
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 10) {
    await vi.advanceTimersByTimeAsync(10);
    const isConfirmed = fixture.confirmedAtMs > startedAtMs;
    const progressCount = [...stored].filter((key) => key !== storeKeys.JOURNAL_KEY).length;
    expect(progressCount).toBeGreaterThanOrEqual(isConfirmed ? jobs.length : 0);
  }
  expect(fixture.confirmedAtMs).toBeGreaterThan(startedAtMs);
  journal.stop();
});
