/**
 * Which workers get no tasks because everything fails on them.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The end of one task on a worker. */
export interface TaskEnd {
  readonly worker: string;
  readonly jobId: string;
  readonly succeeded: boolean;
}

/** The failures in a row after which a worker is quarantined. */
const FAILURES_TO_QUARANTINE = 3;
/** Failures of one job count once, and it takes this many jobs. */
const JOBS_TO_QUARANTINE = 2;
/** A job that failed on this many workers is at fault itself. */
const WORKERS_TO_BLAME_JOB = 2;
const FIRST_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** Jobs whose failures are remembered. */
const MAX_JOBS = 10_000;

/** The failures seen so far; built from the ends of tasks, oldest first. */
export class FailureHistory {
  /** Jobs that failed in a row, by worker. */
  readonly #failedJobs = new Map<string, string[]>();
  /** Workers on which a job failed. */
  readonly #failedWorkers = new Map<string, Set<string>>();

  add({ worker, jobId, succeeded }: TaskEnd): void {
    if (succeeded) {
      this.#failedJobs.delete(worker);
      this.#failedWorkers.delete(jobId);
      return;
    }
    this.#failedJobs.set(worker, [...(this.#failedJobs.get(worker) ?? []), jobId]);
    const workers = this.#failedWorkers.get(jobId) ?? new Set();
    this.#failedWorkers.set(jobId, workers.add(worker));
    if (this.#failedWorkers.size > MAX_JOBS) {
      const [oldest] = this.#failedWorkers.keys();
      this.#failedWorkers.delete(oldest ?? "");
    }
  }

  /** Whether a worker fails everything, not counting jobs that fail elsewhere too. */
  isFaulty(worker: string): boolean {
    const blamed = (this.#failedJobs.get(worker) ?? []).filter((jobId) =>
      (this.#failedWorkers.get(jobId)?.size ?? 0) < WORKERS_TO_BLAME_JOB
    );
    return blamed.length >= FAILURES_TO_QUARANTINE && new Set(blamed).size >= JOBS_TO_QUARANTINE;
  }

  forget(worker: string): void {
    this.#failedJobs.delete(worker);
  }
}

/** How a worker may be used. A worker on probation gets one task at a time. */
export type WorkerStatus = "usable" | "probation" | "quarantined";

/** The standing that a worker's record gives it. */
export function workerStatusOf(
  record: schema.fleet.WorkerRecord | undefined,
  wallMs: number,
): WorkerStatus {
  if (record?.quarantinedUntilMs === undefined) {
    return "usable";
  }
  return wallMs < record.quarantinedUntilMs ? "quarantined" : "probation";
}

/** The record of a worker that is quarantined now; each time in a row lasts twice as long. */
export function quarantine(
  worker: string,
  { record, wallMs }: { record: schema.fleet.WorkerRecord | undefined; wallMs: number },
): schema.fleet.WorkerRecord {
  const quarantines = (record?.quarantines ?? 0) + 1;
  const durationMs = Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** (quarantines - 1));
  return {
    worker,
    quarantines,
    quarantinedUntilMs: wallMs + durationMs,
    reason: "Every task of several jobs failed on the worker",
  };
}

/** The record of a worker whose probing task succeeded. */
export function clear(worker: string): schema.fleet.WorkerRecord {
  return { worker, quarantines: 0, reason: "The probing task succeeded" };
}
