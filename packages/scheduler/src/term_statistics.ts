/**
 * Reports an owner's backlog once a second, in a log line and in metrics: task ends that are not
 * acknowledged yet, jobs to be stored, and the time that decisions take.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import { type NodeMetrics, processCpuMs } from "./metrics.ts";

const LOG_INTERVAL_MS = 1_000;

export interface TermStatisticsOptions {
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly metrics: NodeMetrics;
}

/** Task ends of all workers by the next stage they have to reach. */
interface EndBacklog {
  unprocessed: number;
  unstored: number;
  unacknowledged: number;
  workersBehind: number;
  oldestWaitMs: number;
}

/** Counts decisions, writes and reports within an interval, and reports them with the backlog. */
export class TermStatistics {
  readonly #options: TermStatisticsOptions;
  #loggedAtMs: number;
  #decisionCount = 0;
  #decisionMs = 0;
  #writeCount = 0;
  #longestWriteMs = 0;
  #reportCount = 0;
  #workerCallCount = 0;
  #failedWorkerCallCount = 0;
  #cpuMs = processCpuMs();

  constructor(options: TermStatisticsOptions) {
    this.#options = options;
    this.#loggedAtMs = options.clock.steadyMs();
  }

  recordDecision(tookMs: number): void {
    this.#decisionCount++;
    this.#decisionMs += tookMs;
    this.#options.metrics.decisionSeconds.observe(tookMs / 1_000);
  }

  recordJournalWrite(tookMs: number): void {
    this.#writeCount++;
    this.#longestWriteMs = Math.max(this.#longestWriteMs, tookMs);
    this.#options.metrics.journalWriteSeconds.observe(tookMs / 1_000);
  }

  /** Counts a call to a worker; the outcome `unknown` means that no answer came. */
  recordWorkerCall(outcome: string): void {
    this.#workerCallCount++;
    this.#failedWorkerCallCount += outcome === "unknown" ? 1 : 0;
    this.#options.metrics.workerCalls.inc({ outcome });
  }

  /** Counts a stop order by its outcome; `overdue` is one that was accepted while the run went on. */
  recordStop(outcome: string): void {
    this.#options.metrics.stops.inc({ outcome });
  }

  /** Counts a report; `acknowledgedWaitsMs` are the times that ends waited for their acknowledgement. */
  recordReport(acknowledgedWaitsMs: readonly number[]): void {
    this.#reportCount++;
    acknowledgedWaitsMs.forEach((waitMs) =>
      this.#options.metrics.endAcknowledgementSeconds.observe(waitMs / 1_000)
    );
  }

  /**
   * Reports once per interval. A large `intervalMs` in the log, or a `cpuMs` near the VM's share of it, means
   * that the process was short of CPU time.
   */
  tick(): void {
    const { clock, log, metrics, scheduler } = this.#options;
    const nowMs = clock.steadyMs();
    const intervalMs = nowMs - this.#loggedAtMs;
    if (intervalMs < LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs = nowMs;
    const cpuMs = processCpuMs();
    const backlog = this.#endBacklog(nowMs);
    metrics.ends.set({ stage: "unprocessed" }, backlog.unprocessed);
    metrics.ends.set({ stage: "unstored" }, backlog.unstored);
    metrics.ends.set({ stage: "unacknowledged" }, backlog.unacknowledged);
    metrics.oldestEndSeconds.set(backlog.oldestWaitMs / 1_000);
    metrics.jobsToStore.set(scheduler.dirtyJobCount);
    metrics.workerCrashes.set(scheduler.crashCounts.crashes);
    metrics.tasksGivenUp.set(scheduler.crashCounts.givenUp);
    log.info("Backlog", {
      endsUnprocessed: backlog.unprocessed,
      endsUnstored: backlog.unstored,
      endsUnacknowledged: backlog.unacknowledged,
      workersBehind: backlog.workersBehind,
      oldestEndMs: Math.round(backlog.oldestWaitMs),
      activeJobs: scheduler.activeJobs.size,
      jobsToStore: scheduler.dirtyJobCount,
      journalWrites: this.#writeCount,
      longestWriteMs: Math.round(this.#longestWriteMs),
      reports: this.#reportCount,
      workerCalls: this.#workerCallCount,
      failedWorkerCalls: this.#failedWorkerCallCount,
      decisions: this.#decisionCount,
      decisionMs: Math.round(this.#decisionMs),
      intervalMs: Math.round(intervalMs),
      cpuMs: Math.round(cpuMs - this.#cpuMs),
    });
    this.#cpuMs = cpuMs;
    this.#workerCallCount = 0;
    this.#failedWorkerCallCount = 0;
    this.#decisionCount = 0;
    this.#decisionMs = 0;
    this.#writeCount = 0;
    this.#longestWriteMs = 0;
    this.#reportCount = 0;
  }

  /** Resets the gauges, as a node that is not the owner has no backlog. */
  stop(): void {
    const { metrics } = this.#options;
    metrics.ends.reset();
    metrics.oldestEndSeconds.set(0);
    metrics.jobsToStore.set(0);
  }

  #endBacklog(nowMs: number): EndBacklog {
    const sum: EndBacklog = {
      unprocessed: 0,
      unstored: 0,
      unacknowledged: 0,
      workersBehind: 0,
      oldestWaitMs: 0,
    };
    for (const { ends } of this.#options.scheduler.workers.values()) {
      sum.unprocessed += ends.listed - ends.processed;
      sum.unstored += ends.processed - ends.stored;
      sum.unacknowledged += ends.stored - ends.acknowledged;
      sum.workersBehind += ends.listed > ends.acknowledged ? 1 : 0;
      sum.oldestWaitMs = Math.max(sum.oldestWaitMs, ends.oldestWaitMs(nowMs));
    }
    return sum;
  }
}
