/**
 * Retry policy of requests: whether a failed attempt can be retried, and the retry budget of a
 * service.
 *
 * @module
 */

/** The window of recent requests that a retry budget is a fraction of. */
export const BUDGET_WINDOW_MS = 10_000;
/** Retries that are allowed in a window however few requests there were. */
export const MIN_RETRIES_PER_WINDOW = 3;
/** The maximum number of attempts of a request, including the first. */
export const MAX_ATTEMPTS = 3;
const BUCKET_MS = 1_000;

/** The requests and retries of one second. */
interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Limits the retries of a service to a fraction of its recent requests. */
export class RetryBudget {
  #buckets: Bucket[] = [];

  /** Counts a first attempt. */
  countRequest(nowMs: number): void {
    this.#bucketAt(nowMs).requests += 1;
  }

  /** Takes one retry from the budget. Returns false if the budget is exhausted. */
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
 * How far an attempt got before it failed. `refused` means that the backend server answered
 * completely and stated that it has not run the request.
 */
export type AttemptPhase = "notSent" | "refused" | "sent";

/** The facts that decide whether an attempt is retried. */
export interface RetryContext {
  readonly phase: AttemptPhase;
  readonly repeatable: boolean;
  /** Attempts made so far, including the failed one. */
  readonly attempts: number;
  readonly remainingMs: number;
  /** Whether any part of an answer has been sent to the caller. */
  readonly answerStarted: boolean;
}

/**
 * Whether another attempt is safe and still possible. The caller takes a retry from the budget only
 * if this is true.
 */
export function canRetry(context: RetryContext): boolean {
  if (context.answerStarted) return false;
  if (context.attempts >= MAX_ATTEMPTS) return false;
  if (context.remainingMs <= 0) return false;
  return context.phase !== "sent" || context.repeatable;
}
