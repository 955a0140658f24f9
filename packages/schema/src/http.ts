/**
 * The HTTP interface towards callers: header names, and the body of an answer that is not a backend
 * server's own.
 *
 * @module
 */
import * as v from "valibot";

/** Requests to a queue go to `/v1/queues/<queue>/<path at the backend server>`. */
export const QUEUE_PATH_PREFIX = "/v1/queues/";
/** `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = "jackdawlink-outcome";
/** The id by which log lines and `explain` find a request. */
export const REQUEST_ID_HEADER = "jackdawlink-request-id";
/** `yes` or `no`; without it the method decides, as HTTP defines idempotent methods. */
export const REPEATABLE_HEADER = "jackdawlink-repeatable";
/** `urgent`, `normal` or `background`; without it the queue decides. */
export const URGENCY_HEADER = "jackdawlink-urgency";
/** The time that the caller will still wait, in milliseconds. */
export const DEADLINE_HEADER = "jackdawlink-deadline-ms";
/** A UUIDv7 chosen by the caller; submissions with the same key run at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Set towards backend servers: the team on whose behalf the request runs. */
export const TEAM_HEADER = "jackdawlink-team";
/** Set towards backend servers: which attempt of the request this is, from 1. */
export const ATTEMPT_HEADER = "jackdawlink-attempt";

/** How a request ended, as told to its caller. */
export const outcomeSchema = v.picklist(["answered", "not-run", "unknown"]);

/** The body of an answer that an entry made itself. */
export const errorBodySchema = v.object({
  error: v.object({
    type: v.string(),
    message: v.string(),
    requestId: v.string(),
    outcome: outcomeSchema,
    retryAfterMs: v.optional(v.number()),
    /** The status of the answer that the same idempotency key got before. */
    keptStatus: v.optional(v.number()),
  }),
});

export type Outcome = v.InferOutput<typeof outcomeSchema>;
export type ErrorBody = v.InferOutput<typeof errorBodySchema>;
