/**
 * How long runs of a service take, from recent ones, so that requests that can't be answered before
 * their deadline don't take slots from others.
 *
 * @module
 */

/** Weights of the newest run in the mean and in the deviation, as in RFC 6298. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** How many deviations a run may take longer than the mean, as in RFC 6298. */
const DEVIATIONS = 4;
/** The least time for the way back to the caller. */
const MIN_MARGIN_MS = 10;
/** A run that was stopped at its deadline would have taken longer by an unknown factor. */
const STOPPED_FACTOR = 1.25;
/** Without a run for so long, nothing is known any more. */
export const ESTIMATE_MAX_AGE_MS = 2_000;

/** Follows the runs of one service. */
export class RunTimeEstimate {
  #meanMs = 0;
  #deviationMs = 0;
  #updatedAtMs: number | null = null;

  /** Takes in a run that came to its end now. */
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

  /** Takes in a run that was stopped at its deadline now. */
  addTimedOut(runMs: number, nowMs: number): void {
    this.#meanMs = Math.max(this.#meanMs, runMs * STOPPED_FACTOR);
    this.#updatedAtMs = nowMs;
  }

  /**
   * Whether a run that starts now is likely to end after the deadline. False while nothing recent is
   * known, so that a service that has become faster is noticed.
   */
  wouldMissDeadline({ nowMs, deadlineAtMs }: { nowMs: number; deadlineAtMs: number }): boolean {
    if (this.#updatedAtMs === null || nowMs - this.#updatedAtMs > ESTIMATE_MAX_AGE_MS) return false;
    const marginMs = Math.max(MIN_MARGIN_MS, DEVIATIONS * this.#deviationMs);
    return nowMs + this.#meanMs + marginMs > deadlineAtMs;
  }
}
