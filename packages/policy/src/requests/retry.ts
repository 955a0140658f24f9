/**
 * Whether a failed attempt may be followed by another.
 *
 * @module
 */

/** The span of traffic that a retry budget is a fraction of. */
export const BUDGET_WINDOW_MS = 10_000;
/** Retries that a window allows however little traffic there was. */
export const MIN_RETRIES_PER_WINDOW = 3;
/** The most attempts of one request. */
export const MAX_ATTEMPTS = 3;
const BUCKET_MS = 1_000;

/** The traffic of one second. */
interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Allows retries of a service up to a fraction of its recent requests. */
export class RetryBudget {
  #buckets: Bucket[] = [];

  /** Counts a first attempt. */
  countRequest(nowMs: number): void {
    this.#bucketAt(nowMs).requests += 1;
  }

  /** Takes one retry from the budget; false where it is used up. */
  tryTake({ nowMs, ratio }: { nowMs: number; ratio: number }): boolean {
    const current = this.#bucketAt(nowMs);
    const requests = this.#buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = this.#buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    if (retries >= Math.max(MIN_RETRIES_PER_WINDOW, requests * ratio)) return false;
    current.retries += 1;
    return true;
  }

  #bucketAt(nowMs: number): Bucket {
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    this.#buckets = this.#buckets.filter((bucket) => bucket.startMs > nowMs - BUDGET_WINDOW_MS);
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.startMs === startMs) return last;
    const bucket = { startMs, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}

/**
 * How far an attempt had come when it ended without a whole answer. `refused` is a backend server's
 * whole answer that says that it has not run the request.
 */
export type AttemptPhase = "notSent" | "refused" | "sent";

/** What decides over another attempt. */
export interface RetryContext {
  readonly phase: AttemptPhase;
  readonly repeatable: boolean;
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  readonly remainingMs: number;
  /** Whether bytes of the answer have reached the caller. */
  readonly answerStarted: boolean;
}

/** Whether the request may still be tried elsewhere; the budget is asked only where this is true. */
export function canRetry(question: RetryContext): boolean {
  if (question.answerStarted) return false;
  if (question.attempts >= MAX_ATTEMPTS) return false;
  if (question.remainingMs <= 0) return false;
  return question.phase !== "sent" || question.repeatable;
}
