/**
 * The specification and the result of a load, which the processes exchange as JSON files.
 *
 * @module
 */
import * as v from "valibot";

const timeMsSchema = v.pipe(v.number(), v.minValue(0));

/** A time span with a constant request rate. */
export const phaseSchema = v.strictObject({
  startMs: timeMsSchema,
  endMs: timeMsSchema,
  ratePerSecond: v.pipe(v.number(), v.minValue(0)),
});

/** An open loop of requests, each sent to a randomly selected URL of the list. */
export const streamSchema = v.strictObject({
  name: v.string(),
  seed: v.pipe(v.number(), v.integer()),
  urls: v.pipe(v.array(v.string()), v.minLength(1)),
  headers: v.optional(v.record(v.string(), v.string()), {}),
  phases: v.pipe(v.array(phaseSchema), v.minLength(1)),
  /** If set, adds a `runMs` query parameter, distributed exponentially with this mean. */
  meanRunMs: v.optional(v.nullable(v.number()), null),
  /** Whether each request carries a unique idempotency key. */
  withIdempotencyKeys: v.optional(v.boolean(), false),
});

/** A closed loop: each of `concurrency` senders waits for the answer before it sends
 * its next request, which measures the maximum throughput. */
export const loopSchema = v.strictObject({
  name: v.string(),
  urls: v.pipe(v.array(v.string()), v.minLength(1)),
  headers: v.optional(v.record(v.string(), v.string()), {}),
  concurrency: v.pipe(v.number(), v.integer(), v.minValue(1)),
  startMs: timeMsSchema,
  endMs: timeMsSchema,
});

/** The load of one load generator. */
export const loadSpecSchema = v.strictObject({
  streams: v.optional(v.array(streamSchema), []),
  loops: v.optional(v.array(loopSchema), []),
});

/**
 * The outcome of a request: `direct` if the answer came from a backend server without an entry, and
 * `broken` if the connection ended without a complete answer.
 */
export const outcomeSchema = v.picklist(["answered", "not-run", "unknown", "direct", "broken"]);

/** The result of one request as its caller saw it; times are relative to the start of the load. */
export const requestResultSchema = v.strictObject({
  name: v.string(),
  intendedAtMs: v.number(),
  /** From the intended send time to the end of the answer. */
  latencyMs: v.number(),
  outcome: outcomeSchema,
  status: v.nullable(v.number()),
});

/** The results of all requests of one load generator. */
export const loadResultSchema = v.strictObject({
  startedAtWallMs: v.number(),
  requests: v.array(requestResultSchema),
});

export type Phase = v.InferOutput<typeof phaseSchema>;
export type Stream = v.InferOutput<typeof streamSchema>;
export type StreamInput = v.InferInput<typeof streamSchema>;
export type Loop = v.InferOutput<typeof loopSchema>;
export type LoadSpec = v.InferOutput<typeof loadSpecSchema>;
export type LoadSpecInput = v.InferInput<typeof loadSpecSchema>;
export type RequestResult = v.InferOutput<typeof requestResultSchema>;
export type LoadResult = v.InferOutput<typeof loadResultSchema>;
