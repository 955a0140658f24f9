/**
 * Exponential back-off with full jitter.
 *
 * @module
 */

const DEFAULT_BASE_MS = 50;
const DEFAULT_CAP_MS = 1_000;
/** Bounds the exponent; after this many failures the delay has reached its cap. */
const MAX_EXPONENT = 20;

/** Options of {@link BackOff}. */
export interface BackOffOptions {
  /** Returns a random number between 0 and 1. */
  readonly random: () => number;
  readonly baseMs?: number;
  readonly capMs?: number;
}

/** Counts consecutive failures and computes the delay before the next attempt. */
export class BackOff {
  readonly #random: () => number;
  readonly #baseMs: number;
  readonly #capMs: number;
  #failures = 0;

  constructor({ random, baseMs = DEFAULT_BASE_MS, capMs = DEFAULT_CAP_MS }: BackOffOptions) {
    this.#random = random;
    this.#baseMs = baseMs;
    this.#capMs = capMs;
  }

  /** Resets the failure count after a success. */
  reset(): void {
    this.#failures = 0;
  }

  /** Counts a failure and returns the delay before the next attempt, in milliseconds. */
  nextDelayMs(): number {
    const maxDelayMs = Math.min(this.#capMs, this.#baseMs * 2 ** this.#failures);
    this.#failures = Math.min(MAX_EXPONENT, this.#failures + 1);
    return this.#random() * maxDelayMs;
  }
}
