/**
 * The state of one incarnation of a worker: its resources, runs, lease, and recent failures.
 *
 * @module
 */
import { EndProgress } from "./end_progress.ts";
import { type JobRecord, type Run, runKey } from "./job_record.ts";
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import { StrayRuns } from "./stray_runs.ts";

/**
 * How long a worker keeps its tasks running without a lease renewal. It covers a change of owner,
 * which takes under 4 s including the expiry of a dead owner's lease, and the 1.5 s between
 * renewals by reports.
 */
export const WORKER_LEASE_MS = 6_000;
/** Workers shorten a longer lease to this. */
const MAX_WORKER_LEASE_MS = 10_000;
/** The fraction by which a worker's clock may run slow. */
const MAX_CLOCK_DRIFT = 0.02;
/** Allowance for response and timer delays, in addition to clock drift. */
const LEASE_MARGIN_MS = 150;
/** How long an order for an earlier incarnation may be under way once a later one is known. */
const MAX_ORDER_DELAY_MS = 500;
/** How often a worker renews its registration. */
export const HEARTBEAT_MS = 1_500;
/**
 * How long after a worker wrote its registration tasks may be started by it. A worker's capacity may
 * shrink right after a heartbeat, and binds 3 s and one heartbeat later; a start order may take half a
 * second to arrive.
 */
const CAPACITY_VALIDITY_MS = 4_000;

/** Consecutive failures, of at least two jobs, after which a worker is quarantined. */
const QUARANTINE_FAILURES = 3;
/** How long a quarantined worker gets no tasks. */
const QUARANTINE_MS = 4_000;

/** Whether the capacity in a registration that was written at `writtenAtMs` can be relied on. */
export function isCapacityValid(writtenAtMs: number, nowMs: number): boolean {
  return nowMs - writtenAtMs <= CAPACITY_VALIDITY_MS;
}

/** Tracks one worker process. */
export class WorkerRecord {
  info: schema.scheduling.WorkerInfo;
  readonly runs = new Map<string, Run>();
  /** The runs that may be at work though they are not tracked; none of them is in `runs`. */
  readonly strayRuns = new StrayRuns();
  used: schema.scheduling.Resources = resources.NO_RESOURCES;
  /** The runs whose tasks were at work on another worker that crashed. */
  readonly #suspectRuns = new Set<Run>();
  /** True once this incarnation is known to be over. */
  hasEnded = false;
  /** True once the worker has listed all its runs and ends under the current fencing token. */
  hasReported = false;
  /** Whether ends may follow that the last report had no room for. */
  hasMoreEnds = false;
  /** Reported tasks whose jobs are not loaded yet; until then the free resources are unknown. */
  unknownTasks: ReadonlySet<string> = new Set();
  /** Whether the worker is due for maintenance or a move; others are preferred for tasks. */
  isLeavingSoon = false;
  /** Why the worker gets no new tasks: a drain, a move, or maintenance. */
  cordon: string | undefined;
  /** Whether the worker is registered in the platform's list. */
  isListed = true;
  /** Whether the registration is recent enough for the worker's capacity to be relied on. */
  isCapacityConfirmed = true;
  /** The number of consecutive VM lists without its VM. */
  missedListCount = 0;
  /** The latest lease end that was sent, on the worker's clock. */
  leaseUntilWorkerMs = 0;
  #workerClockMs = 0;
  #clockReadAtMs = 0;
  #failureStreak = 0;
  readonly #failedJobs = new Set<string>();
  #quarantinedUntilMs = 0;
  idleSinceMs = 0;
  readonly ends = new EndProgress();

  /** True if a list shows the worker's VM as down, while a run may be on an incarnation that has begun since. */
  isDown = false;
  /** No incarnation that follows this one had begun at this time. */
  noSuccessorBeforeMs = Number.NEGATIVE_INFINITY;

  /** When the scheduler first learned of the worker. */
  readonly knownSinceMs: number;
  /** Whether orders for an earlier incarnation may have reached this one. */
  readonly isSuccessor: boolean;

  constructor(info: schema.scheduling.WorkerInfo, nowMs: number, { isSuccessor = false } = {}) {
    this.info = info;
    this.knownSinceMs = nowMs;
    this.idleSinceMs = nowMs;
    this.isSuccessor = isSuccessor;
  }

  get free(): schema.scheduling.Resources {
    return resources.subtract(this.info.total, this.used);
  }

  addRun(run: Run): void {
    this.runs.set(runKey(run.task.name, run.runId), run);
    this.used = resources.add(this.used, run.allocation);
    if (run.suspectUntilMs > 0) {
      this.#suspectRuns.add(run);
    }
  }

  removeRun(run: Run, nowMs: number): void {
    if (this.runs.delete(runKey(run.task.name, run.runId))) {
      this.used = resources.subtract(this.used, run.allocation);
      this.#suspectRuns.delete(run);
      this.idleSinceMs = nowMs;
    }
  }

  /** The number of runs of other jobs that may still crash the worker. */
  suspectCount(job: JobRecord, nowMs: number): number {
    let count = 0;
    for (const run of this.#suspectRuns) {
      count += run.step.job !== job && nowMs < run.suspectUntilMs ? 1 : 0;
    }
    return count;
  }

  /** Whether the worker is kept free of tasks of any job but those at work there. */
  isIsolated(nowMs: number): boolean {
    for (const run of this.#suspectRuns) {
      if (nowMs < run.isolatedUntilMs) {
        return true;
      }
    }
    return false;
  }

  /** Whether no other job has a run on the worker. */
  isFreeFor(job: JobRecord): boolean {
    for (const run of this.runs.values()) {
      if (run.step.job !== job) {
        return false;
      }
    }
    return true;
  }

  /** Records a reading of the worker's clock; `readAtMs` is when the response arrived. */
  setClock(workerClockMs: number, readAtMs: number): void {
    this.#workerClockMs = workerClockMs;
    this.#clockReadAtMs = readAtMs;
  }

  /** The last reading of the worker's clock, and its age. */
  clockReading(nowMs: number): { readonly workerClockMs: number; readonly clockAgeMs: number } {
    return {
      workerClockMs: this.#workerClockMs,
      clockAgeMs: Math.round(nowMs - this.#clockReadAtMs),
    };
  }

  get hasClock(): boolean {
    return this.#clockReadAtMs > 0;
  }

  /**
   * Extends the lease by `leaseMs` from now, or less if the worker's clock is not slow; returns its end on
   * the worker's clock, to be sent to the worker. A new owner allows for no more than `leaseMs`.
   */
  extendLease(nowMs: number, leaseMs: number): number {
    const passedWorkerMs = (nowMs - this.#clockReadAtMs) * (1 - MAX_CLOCK_DRIFT);
    const leaseUntilWorkerMs = Math.floor(this.#workerClockMs + passedWorkerMs + leaseMs);
    this.leaseUntilWorkerMs = Math.max(this.leaseUntilWorkerMs, leaseUntilWorkerMs);
    return leaseUntilWorkerMs;
  }

  /**
   * Assumes that the lease was extended just before the first report: by a previous owner, or for an earlier
   * incarnation, to whose clock its end then refers.
   */
  recordPreviousLease(): void {
    const leaseMs = this.isSuccessor ? MAX_WORKER_LEASE_MS : WORKER_LEASE_MS;
    const leaseUntilWorkerMs = this.#workerClockMs + leaseMs;
    this.leaseUntilWorkerMs = Math.max(this.leaseUntilWorkerMs, leaseUntilWorkerMs);
  }

  /** The latest time, on the local clock, at which a run may still be active on the worker. */
  leaseExpiryMs(): number {
    if (!this.hasClock) {
      return this.knownSinceMs + MAX_ORDER_DELAY_MS + MAX_WORKER_LEASE_MS / (1 - MAX_CLOCK_DRIFT);
    }
    const remainingMs = Math.max(0, this.leaseUntilWorkerMs - this.#workerClockMs);
    return this.#clockReadAtMs + remainingMs / (1 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /** Whether the worker, which has answered within its lease, has ends that it has not listed yet. */
  hasUnlistedEnds(nowMs: number): boolean {
    return this.hasMoreEnds && nowMs <= this.leaseExpiryMs();
  }

  /** Updates the failure streak after the end of a run. */
  recordEnd(kind: schema.scheduling.EndKind, jobId: string, nowMs: number): void {
    if (kind === "done") {
      this.#failureStreak = 0;
      this.#failedJobs.clear();
    } else if (kind === "failed") {
      this.recordFailure(jobId, nowMs);
    }
  }

  /** Records that a task failed on the worker, or that the worker refused to start it. */
  recordFailure(jobId: string, nowMs: number): void {
    this.#failureStreak++;
    this.#failedJobs.add(jobId);
    if (this.#failureStreak >= QUARANTINE_FAILURES && this.#failedJobs.size > 1) {
      this.#quarantinedUntilMs = nowMs + QUARANTINE_MS;
    }
  }

  get failureStreak(): number {
    return this.#failureStreak;
  }

  isQuarantined(nowMs: number): boolean {
    return nowMs < this.#quarantinedUntilMs;
  }

  /** Whether the worker can be given tasks now. */
  isSchedulable(nowMs: number): boolean {
    return this.isListed && this.isCapacityConfirmed && this.hasReported && !this.isDown &&
      !this.info.isDraining && this.cordon === undefined &&
      this.unknownTasks.size === 0 && this.strayRuns.size === 0 && !this.isQuarantined(nowMs);
  }
}
