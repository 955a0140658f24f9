/**
 * Exponential back-off with full jitter.
 *
 * @module
 */

const DEFAULT_BASE_MS = 50;
const DEFAULT_CAP_MS = 1_000;
/** Beyond this many failures the cap applies in any case. */
const MAX_EXPONENT = 20;

/** Options of {@link BackOff}. */
export interface BackOffOptions {
  /** A random source between 0 and 1. */
  readonly random: () => number;
  readonly baseMs?: number;
  readonly capMs?: number;
}

/** Counts failures in a row and gives the delay before the next try. */
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

  reset(): void {
    this.#failures = 0;
  }

  /** The delay before the next try, in milliseconds. */
  nextDelayMs(): number {
    const maxDelayMs = Math.min(this.#capMs, this.#baseMs * 2 ** this.#failures);
    this.#failures = Math.min(MAX_EXPONENT, this.#failures + 1);
    return this.#random() * maxDelayMs;
  }
}
