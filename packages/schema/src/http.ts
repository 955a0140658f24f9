/**
 * The HTTP interface for callers: header names, and the body of error responses that an entry
 * creates itself.
 *
 * @module
 */
import * as v from "valibot";

/** Requests to a queue go to `/v1/queues/<queue>/<path at the backend server>`. */
export const QUEUE_PATH_PREFIX = "/v1/queues/";
/** Response header: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = "jackdawlink-outcome";
/** Response header: the id of the request in log lines and for `explain`. */
export const REQUEST_ID_HEADER = "jackdawlink-request-id";
/**
 * Request header: `yes` or `no`. Without it, requests with an idempotent HTTP method are
 * repeatable.
 */
export const REPEATABLE_HEADER = "jackdawlink-repeatable";
/** Request header: `urgent`, `normal` or `background`; defaults to the queue's urgency. */
export const URGENCY_HEADER = "jackdawlink-urgency";
/** Request header: how long the caller will wait, in milliseconds. */
export const DEADLINE_HEADER = "jackdawlink-deadline-ms";
/** Request header: a UUIDv7 chosen by the caller. Requests with the same key run at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Header sent to backend servers: the team that submitted the request. */
export const TEAM_HEADER = "jackdawlink-team";
/** Header sent to backend servers: the number of the attempt, starting at 1. */
export const ATTEMPT_HEADER = "jackdawlink-attempt";

/** The outcome of a request, as reported to its caller. */
export const outcomeSchema = v.picklist(["answered", "not-run", "unknown"]);

/** The body of an error response that was created by an entry. */
export const errorBodySchema = v.object({
  error: v.object({
    type: v.string(),
    message: v.string(),
    requestId: v.string(),
    outcome: outcomeSchema,
    retryAfterMs: v.optional(v.number()),
    /** The status of the earlier response to a request with the same idempotency key. */
    keptStatus: v.optional(v.number()),
  }),
});

export type Outcome = v.InferOutput<typeof outcomeSchema>;
export type ErrorBody = v.InferOutput<typeof errorBodySchema>;
