/**
 * The outcomes and refusals that are reported to callers. A request is reported as "not run" only
 * if none of its attempts can have run.
 *
 * @module
 */
import type { http } from "@jackdawlink/schema";
import type { AttemptPhase } from "./retry.ts";

/** Tracks whether any attempt of a request may have run. */
export class OutcomeTracker {
  #mayHaveRun = false;

  /** Records an attempt that ended without an answer to forward to the caller. */
  recordFailedAttempt(phase: AttemptPhase): void {
    if (phase === "sent") this.#mayHaveRun = true;
  }

  /** The outcome to report if the request is refused now. */
  refusalOutcome(): http.Outcome {
    return this.#mayHaveRun ? "unknown" : "not-run";
  }
}

/** The answer to a request for which the entry has no answer of a backend server to forward. */
export interface RefusalKind {
  readonly status: number;
  readonly message: string;
  /** How long the caller should wait before it retries; null if a retry does not help. */
  readonly retryAfterMs: number | null;
}

/** All refusals by type. The type is part of the response body. */
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
