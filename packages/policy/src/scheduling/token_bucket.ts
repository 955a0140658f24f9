/**
 * Limits the job rate of a workspace to its weight. When a workspace submits many times its usual
 * rate, the jobs above the limit wait behind those of other workspaces.
 *
 * @module
 */

/** Bucket capacity in seconds of the rate, so that jobs submitted in pairs are not set back. */
const BURST_SECONDS = 2;

/** One workspace's token bucket; each job takes one token. */
export class TokenBucket {
  #tokens = Number.POSITIVE_INFINITY;
  #refilledAtMs: number;

  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Refills the bucket and takes a token; returns false if none is left. */
  take(ratePerSecond: number, nowMs: number): boolean {
    const elapsedSeconds = Math.max(0, nowMs - this.#refilledAtMs) / 1_000;
    this.#tokens = Math.min(
      Math.max(1, ratePerSecond * BURST_SECONDS),
      this.#tokens + elapsedSeconds * ratePerSecond,
    );
    this.#refilledAtMs = Math.max(nowMs, this.#refilledAtMs);
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
