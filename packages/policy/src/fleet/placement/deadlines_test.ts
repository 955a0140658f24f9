import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { describe, expect, it } from "vitest";
import * as placement from "./place.ts";

const STEP_MS = 1_000;
const STEPS = 1_800;
const WORKER_COUNT = 40;
const WORKER_CORES = 16;

interface TraceJob extends placement.WaitingJob {
  /** The actual run time: up to three times longer or shorter than the declared one. */
  readonly trueRunMs: number;
}

interface Outcome {
  readonly missed: number;
  readonly withDeadline: number;
  readonly urgentDelayMs: number;
}

/** Generates jobs with deadlines, urgent jobs, and background jobs that arrive in bursts. */
function makeTrace(seed: number): readonly TraceJob[] {
  const random = xoroshiro128plus(seed);
  const between = (from: number, to: number) => uniformInt(random, from, to);
  const jobs: TraceJob[] = [];
  const kinds = [
    { team: "billing", urgency: "normal", everySteps: 1, count: 2, slackMs: 60_000 },
    { team: "confirmations", urgency: "urgent", everySteps: 3, count: 1, slackMs: undefined },
    { team: "syncs", urgency: "background", everySteps: 300, count: 900, slackMs: undefined },
  ] as const;
  for (let step = 0; step < STEPS; step += 1) {
    for (const { team, urgency, everySteps, count, slackMs } of kinds) {
      for (let index = 0; step % everySteps === 0 && index < count; index += 1) {
        const runMs = between(10, 60) * STEP_MS;
        const trueRunMs = Math.round(runMs * 3 ** (between(-100, 100) / 100));
        const submittedAtMs = step * STEP_MS;
        const size = { cores: between(1, 4), memoryMb: 1_000, accelerators: 0 };
        const deadlineAtMs = slackMs && submittedAtMs + trueRunMs + slackMs;
        const jobId = `${team}-${step}-${index}`;
        jobs.push({
          jobId,
          team,
          urgency,
          size,
          runMs,
          trueRunMs,
          submittedAtMs,
          deadlineAtMs,
        });
      }
    }
  }
  return jobs;
}

/** Simulates a trace. `view` maps a job to what the placement code sees of it. */
function play(
  trace: readonly TraceJob[],
  view: (job: TraceJob) => placement.WaitingJob,
): Outcome {
  const free = new Map(
    Array.from({ length: WORKER_COUNT }, (_, index) => [`worker-${index}`, WORKER_CORES]),
  );
  let waiting: TraceJob[] = [];
  let running: { job: TraceJob; worker: string; endsAtMs: number }[] = [];
  const outcome = { missed: 0, withDeadline: 0, urgentDelayMs: 0 };
  for (let nowMs = 0; nowMs < STEPS * STEP_MS || waiting.length > 0; nowMs += STEP_MS) {
    for (const { job, worker } of running.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      free.set(worker, (free.get(worker) ?? 0) + job.size.cores);
    }
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    waiting = [...waiting, ...trace.filter((job) => job.submittedAtMs === nowMs)];
    const round = placement.placeRound({
      jobs: waiting.map(view),
      workers: [...free].map(([worker, cores], index) => ({
        worker,
        availabilityZone: `zone-${index % 4}`,
        rack: `rack-${index >> 2}`,
        cores,
        memoryMb: 64_000,
        accelerators: 0,
        usable: true,
        total: { cores: WORKER_CORES, memoryMb: 64_000, accelerators: 0 },
      })),
      teams: new Map(),
      nowMs,
      maxPlacements: 500,
    });
    const byId = new Map(waiting.map((job) => [job.jobId, job]));
    for (const { jobId, worker } of round.placements) {
      const job = byId.get(jobId);
      if (job === undefined) {
        continue;
      }
      const endsAtMs = nowMs + job.trueRunMs;
      free.set(worker, (free.get(worker) ?? 0) - job.size.cores);
      running.push({ job, worker, endsAtMs });
      outcome.withDeadline += Number(job.deadlineAtMs !== undefined);
      outcome.missed += Number(endsAtMs > (job.deadlineAtMs ?? endsAtMs));
      const isUrgent = job.urgency === "urgent";
      outcome.urgentDelayMs = Math.max(
        outcome.urgentDelayMs,
        isUrgent ? nowMs - job.submittedAtMs : 0,
      );
    }
    const placed = new Set(round.placements.map(({ jobId }) => jobId));
    waiting = waiting.filter(({ jobId }) => !placed.has(jobId));
  }
  return outcome;
}

/** First come, first served: one team, one urgency, no deadlines and no urgent reserve. */
function asFirstComeFirstServed(job: TraceJob): placement.WaitingJob {
  const { jobId, size, runMs, submittedAtMs } = job;
  return { jobId, size, runMs, submittedAtMs, team: "all", urgency: "urgent" };
}

describe("placement compared with first come, first served", () => {
  it.each([1, 2, 3])(
    "misses few deadlines with run times off by a factor of 3, seed %i",
    (seed) => {
      const trace = makeTrace(seed);
      const placed = play(trace, (job) => job);
      const perfect = play(trace, (job) => ({ ...job, runMs: job.trueRunMs }));
      const baseline = play(trace, asFirstComeFirstServed);
      expect(placed.missed - perfect.missed).toBeLessThanOrEqual(placed.withDeadline * 0.02);
      expect(placed.missed).toBeLessThan(baseline.missed);
      expect(placed.urgentDelayMs).toBeLessThanOrEqual(4_300);
      expect(perfect.urgentDelayMs).toBeLessThanOrEqual(4_300);
    },
  );
});
