/**
 * Quarantine of workers on which the tasks of several jobs fail.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The result of a task on a worker. */
export interface TaskEnd {
  readonly worker: string;
  readonly jobId: string;
  readonly succeeded: boolean;
}

/** The number of consecutive failures after which a worker is quarantined. */
const FAILURES_TO_QUARANTINE = 3;
/** The number of different jobs that these failures must come from. */
const JOBS_TO_QUARANTINE = 2;
/** A job that failed on this many workers is considered faulty itself. */
const WORKERS_TO_BLAME_JOB = 2;
const FIRST_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** The maximum number of jobs whose failures are kept. */
const MAX_JOBS = 10_000;

/** The recent failures by worker and by job. Add task results in the order in which tasks ended. */
export class FailureHistory {
  /** The jobs that failed consecutively, by worker. */
  readonly #failedJobs = new Map<string, string[]>();
  /** The workers on which a job failed, by job. */
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

  /** Whether a worker should be quarantined. Ignores jobs that also failed on other workers. */
  isFaulty(worker: string): boolean {
    const failures = (this.#failedJobs.get(worker) ?? []).filter((jobId) =>
      (this.#failedWorkers.get(jobId)?.size ?? 0) < WORKERS_TO_BLAME_JOB
    );
    return failures.length >= FAILURES_TO_QUARANTINE &&
      new Set(failures).size >= JOBS_TO_QUARANTINE;
  }

  forget(worker: string): void {
    this.#failedJobs.delete(worker);
  }
}

/** Whether a worker gets tasks. A worker on probation gets one task at a time. */
export type WorkerStatus = "usable" | "probation" | "quarantined";

/** The status of a worker according to its record. */
export function workerStatusOf(
  record: schema.fleet.WorkerRecord | undefined,
  wallMs: number,
): WorkerStatus {
  if (record?.quarantinedUntilMs === undefined) {
    return "usable";
  }
  return wallMs < record.quarantinedUntilMs ? "quarantined" : "probation";
}

/** The record of a worker whose quarantine starts now. Each consecutive one lasts twice as long. */
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

/** The record of a worker whose probation task succeeded. */
export function clear(worker: string): schema.fleet.WorkerRecord {
  return { worker, quarantines: 0, reason: "The probing task succeeded" };
}
