/**
 * Estimates the run time of requests from recent runs, so that requests that would miss their
 * deadline don't take slots from others.
 *
 * @module
 */

/** Gains of the moving averages of run time and deviation, as in RFC 6298. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** How many deviations are added to the mean, as in RFC 6298. */
const DEVIATION_FACTOR = 4;
/** Minimum time reserved for sending the answer to the caller. */
const MIN_MARGIN_MS = 10;
/** A run that was stopped at its deadline would have run longer, by an unknown factor. */
const TIMED_OUT_FACTOR = 1.25;
/** The estimate expires when no run has ended for this long. */
export const ESTIMATE_MAX_AGE_MS = 2_000;

/** The estimated run time of the requests of one service. */
export class RunTimeEstimate {
  #meanMs = 0;
  #deviationMs = 0;
  #updatedAtMs: number | null = null;

  /** Adds the run time of a run that completed at `nowMs`. */
  addCompleted(runMs: number, nowMs: number): void {
    if (this.#updatedAtMs === null) {
      this.#meanMs = runMs;
      this.#deviationMs = 0;
    } else {
      this.#deviationMs += (Math.abs(runMs - this.#meanMs) - this.#deviationMs) * DEVIATION_GAIN;
      this.#meanMs += (runMs - this.#meanMs) * MEAN_GAIN;
    }
    this.#updatedAtMs = nowMs;
  }

  /** Adds the run time of a run that was stopped at its deadline at `nowMs`. */
  addTimedOut(runMs: number, nowMs: number): void {
    this.#meanMs = Math.max(this.#meanMs, runMs * TIMED_OUT_FACTOR);
    this.#updatedAtMs = nowMs;
  }

  /**
   * Whether a run that starts now is likely to end after the deadline. Returns false without a
   * recent run, so that requests are tried again and the estimate adapts to a service that became
   * faster.
   */
  wouldMissDeadline({ nowMs, deadlineAtMs }: { nowMs: number; deadlineAtMs: number }): boolean {
    if (this.#updatedAtMs === null || nowMs - this.#updatedAtMs > ESTIMATE_MAX_AGE_MS) return false;
    const marginMs = Math.max(MIN_MARGIN_MS, DEVIATION_FACTOR * this.#deviationMs);
    return nowMs + this.#meanMs + marginMs > deadlineAtMs;
  }
}
