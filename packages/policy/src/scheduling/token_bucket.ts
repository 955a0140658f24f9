/**
 * The rate of jobs that a workspace's weight entitles it to. It answers a workspace that sends many times
 * its usual: what exceeds the rate waits behind other workspaces' jobs.
 *
 * @module
 */

/** A pause saves up so many seconds of the rate, so that jobs that come in pairs are not set back. */
const BURST_S = 2;

/** One workspace's bucket; its weight is a number of jobs a second. */
export class TokenBucket {
  #level = Number.POSITIVE_INFINITY;
  #takenAtMs: number;

  constructor(nowMs: number) {
    this.#takenAtMs = nowMs;
  }

  /** Takes one job's share; false where the workspace is beyond it. */
  take(weight: number, nowMs: number): boolean {
    const passedS = Math.max(0, nowMs - this.#takenAtMs) / 1_000;
    this.#level = Math.min(Math.max(1, weight * BURST_S), this.#level + passedS * weight);
    this.#takenAtMs = Math.max(nowMs, this.#takenAtMs);
    if (this.#level < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }
}
