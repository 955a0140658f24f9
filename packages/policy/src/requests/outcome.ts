/**
 * What may be told to a caller: "not run" only where every attempt is known not to have run.
 *
 * @module
 */
import type { http } from "@jackdawlink/schema";
import type { AttemptPhase } from "./retry.ts";

/** Follows the attempts of one request. */
export class OutcomeTracker {
  #mayHaveRun = false;

  /** An attempt ended without a whole answer of its own. */
  recordFailedAttempt(phase: AttemptPhase): void {
    if (phase === "sent") this.#mayHaveRun = true;
  }

  /** What a refusal may say now. */
  refusalOutcome(): http.Outcome {
    return this.#mayHaveRun ? "unknown" : "not-run";
  }
}

/** How a request is answered when an entry cannot pass on a backend server's answer. */
export interface RefusalKind {
  readonly status: number;
  readonly message: string;
  /** How long a caller should wait before another try; null where a retry does not help. */
  readonly retryAfterMs: number | null;
}

/** All refusals by their type, as it stands in the body of the answer. */
export const REFUSALS = {
  unknownQueue: { status: 404, message: "No such queue", retryAfterMs: null },
  invalidRequest: {
    status: 400,
    message: "A header of the request is invalid",
    retryAfterMs: null,
  },
  keyMissing: { status: 401, message: "The queue needs a key", retryAfterMs: null },
  keyRefused: { status: 401, message: "The key is unknown or withdrawn", retryAfterMs: null },
  teamWithoutLimit: { status: 403, message: "The team has no limit", retryAfterMs: null },
  requestTooLarge: { status: 413, message: "The request body is too large", retryAfterMs: null },
  notFresh: { status: 503, message: "The entry has lost contact", retryAfterMs: 1_000 },
  draining: { status: 503, message: "The entry is stopping", retryAfterMs: 100 },
  queueFull: { status: 429, message: "The queue is full", retryAfterMs: 1_000 },
  bodiesFull: { status: 503, message: "The entry holds too many bodies", retryAfterMs: 1_000 },
  waitedTooLong: { status: 503, message: "No slot became free in time", retryAfterMs: 1_000 },
  deadlineOver: { status: 504, message: "The deadline is over", retryAfterMs: null },
  backendServerFailed: {
    status: 502,
    message: "No backend server gave a whole answer",
    retryAfterMs: 1_000,
  },
  answerTooLarge: { status: 502, message: "The answer is too large", retryAfterMs: null },
  claimRunning: { status: 409, message: "The key's request is running", retryAfterMs: 1_000 },
  claimAnswered: {
    status: 409,
    message: "The key's request has been answered",
    retryAfterMs: null,
  },
  claimMayHaveRun: { status: 409, message: "The key's request may have run", retryAfterMs: null },
  claimMismatch: {
    status: 422,
    message: "The key was used for another request",
    retryAfterMs: null,
  },
  claimTooOld: {
    status: 409,
    message: "The key is older than the kept window",
    retryAfterMs: null,
  },
  claimUnavailable: { status: 503, message: "The key can't be claimed now", retryAfterMs: 1_000 },
} as const satisfies Record<string, RefusalKind>;

/** The type of a refusal. */
export type RefusalType = keyof typeof REFUSALS;
