/**
 * Rate limit for the store calls of a process.
 *
 * @module
 */

const MS_PER_SECOND = 1_000;

/** A token bucket that allows `perSecond` calls, with bursts of up to one second's worth. */
export class CallBudget {
  readonly #perSecond: number;
  readonly #nowMs: () => number;
  #tokens: number;
  #updatedAtMs: number;

  constructor(perSecond: number, nowMs: () => number) {
    this.#perSecond = perSecond;
    this.#nowMs = nowMs;
    this.#tokens = perSecond;
    this.#updatedAtMs = nowMs();
  }

  /** Reserves a call. Returns the delay before it may start, or null if it exceeds `maxWaitMs`. */
  reserve(maxWaitMs: number): number | null {
    this.#refill();
    const waitMs = this.#tokens >= 1 ? 0 : ((1 - this.#tokens) * MS_PER_SECOND) / this.#perSecond;
    if (waitMs > maxWaitMs) return null;
    this.#tokens -= 1;
    return waitMs;
  }

  #refill(): void {
    const nowMs = this.#nowMs();
    const added = ((nowMs - this.#updatedAtMs) * this.#perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + added);
    this.#updatedAtMs = nowMs;
  }
}
