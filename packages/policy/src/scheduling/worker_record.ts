/**
 * One life of a worker: its room, its runs, when its lease ends, and how its tasks fare.
 *
 * @module
 */
import { EndProgress } from "./end_progress.ts";
import { type Run, runKey } from "./job_record.ts";
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";

/**
 * How long a worker's tasks go on without a renewal. A change of owner takes under 4 s with a dead owner's
 * lease, and reports renew every 1.5 s.
 */
export const WORKER_LEASE_MS = 6_000;
/** A worker's clock may be this much slow. */
const MAX_CLOCK_DRIFT = 0.02;
/** Delay of an answer and of timers beyond the drift. */
const LEASE_SLACK_MS = 150;
/** So many failures in a row, of two jobs at least, make a worker suspect. */
const SUSPECT_FAILURES = 3;
/** How long a suspect worker gets no task before it is tried again. */
const QUARANTINE_MS = 4_000;

/** What the scheduler knows of one worker. */
export class WorkerRecord {
  info: schema.scheduling.WorkerInfo;
  readonly runs = new Map<string, Run>();
  used: schema.scheduling.Resources = resources.NO_RESOURCES;
  /** True once the worker has reported under the current fencing token. */
  hasReported = false;
  /** Runs and ends of jobs that are not known yet; until they are, the worker's room is not known. */
  unknownTasks: ReadonlySet<string> = new Set();
  /** Due for maintenance or a move; other workers are preferred for tasks. */
  isLeavingSoon = false;
  /** Why the worker gets no new tasks: a drain, a move, or maintenance. */
  cordon: string | undefined;
  /** True while its entry stands in the platform's list. */
  isListed = true;
  /** Lists of VMs in a row that did not name its VM. */
  missedListCount = 0;
  /** The highest lease end that was ever sent, on the worker's clock. */
  leaseUntilWorkerMs = 0;
  #workerClockMs = 0;
  #clockReadAtMs = 0;
  #failureStreak = 0;
  readonly #failedJobs = new Set<string>();
  #quarantinedUntilMs = 0;
  idleSinceMs = 0;
  readonly ends = new EndProgress();

  /** When the worker came to be known. */
  readonly knownSinceMs: number;

  constructor(info: schema.scheduling.WorkerInfo, nowMs: number) {
    this.info = info;
    this.knownSinceMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  get free(): schema.scheduling.Resources {
    return resources.subtract(this.info.total, this.used);
  }

  addRun(run: Run): void {
    this.runs.set(runKey(run.task.name, run.runId), run);
    this.used = resources.add(this.used, run.allocation);
  }

  removeRun(run: Run, nowMs: number): void {
    if (this.runs.delete(runKey(run.task.name, run.runId))) {
      this.used = resources.subtract(this.used, run.allocation);
      this.idleSinceMs = nowMs;
    }
  }

  /** Takes over the worker's clock; `readAtMs` is when the answer arrived. */
  setClock(workerClockMs: number, readAtMs: number): void {
    this.#workerClockMs = workerClockMs;
    this.#clockReadAtMs = readAtMs;
  }

  /** The last known time on the worker's clock, and how long ago it was read. */
  clockReading(nowMs: number): { readonly workerClockMs: number; readonly clockAgeMs: number } {
    return {
      workerClockMs: this.#workerClockMs,
      clockAgeMs: Math.round(nowMs - this.#clockReadAtMs),
    };
  }

  get hasClock(): boolean {
    return this.#clockReadAtMs > 0;
  }

  /** The end of a lease of a length from now, on the worker's clock. */
  extendLease(nowMs: number, leaseMs: number): number {
    const leaseUntilMs = Math.round(this.#workerClockMs + nowMs - this.#clockReadAtMs + leaseMs);
    this.leaseUntilWorkerMs = Math.max(this.leaseUntilWorkerMs, leaseUntilMs);
    return leaseUntilMs;
  }

  /** An earlier owner may have renewed the lease until just before it was shut out. */
  recordPreviousLease(): void {
    const leaseUntilMs = this.#workerClockMs + WORKER_LEASE_MS;
    this.leaseUntilWorkerMs = Math.max(this.leaseUntilWorkerMs, leaseUntilMs);
  }

  /** The latest time on our clock at which something ordered may still run on the worker. */
  leaseExpiryMs(): number {
    const leftMs = Math.max(0, this.leaseUntilWorkerMs - this.#workerClockMs);
    return this.#clockReadAtMs + leftMs / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_MS;
  }

  recordEnd(kind: schema.scheduling.EndKind, jobId: string, nowMs: number): void {
    if (kind === "done") {
      this.#failureStreak = 0;
      this.#failedJobs.clear();
    } else if (kind === "failed") {
      this.recordFailure(jobId, nowMs);
    }
  }

  /** A task failed on the worker, or the worker would not start it. */
  recordFailure(jobId: string, nowMs: number): void {
    this.#failureStreak++;
    this.#failedJobs.add(jobId);
    if (this.#failureStreak >= SUSPECT_FAILURES && this.#failedJobs.size > 1) {
      this.#quarantinedUntilMs = nowMs + QUARANTINE_MS;
    }
  }

  get failureStreak(): number {
    return this.#failureStreak;
  }

  isQuarantined(nowMs: number): boolean {
    return nowMs < this.#quarantinedUntilMs;
  }

  /** Whether the worker may be given tasks now. */
  isSchedulable(nowMs: number): boolean {
    return this.isListed && this.hasReported && !this.info.isDraining &&
      this.cordon === undefined &&
      this.unknownTasks.size === 0 && !this.isQuarantined(nowMs);
  }
}
