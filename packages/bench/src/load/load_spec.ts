/**
 * What a load generator sends, and what it saw. Both pass between processes as JSON.
 *
 * @module
 */
import * as v from "valibot";

const timeMsSchema = v.pipe(v.number(), v.minValue(0));

/** A span of time with one rate. */
export const phaseSchema = v.strictObject({
  startMs: timeMsSchema,
  endMs: timeMsSchema,
  ratePerSecond: v.pipe(v.number(), v.minValue(0)),
});

/** Requests of one kind; each goes to one of the URLs by chance. */
export const streamSchema = v.strictObject({
  name: v.string(),
  seed: v.pipe(v.number(), v.integer()),
  urls: v.pipe(v.array(v.string()), v.minLength(1)),
  headers: v.optional(v.record(v.string(), v.string()), {}),
  phases: v.pipe(v.array(phaseSchema), v.minLength(1)),
  /** Adds `runMs` to each query, distributed exponentially around this mean. */
  meanRunMs: v.optional(v.nullable(v.number()), null),
  /** Gives each request an idempotency key of its own. */
  withIdempotencyKeys: v.optional(v.boolean(), false),
});

/** Requests that wait for the answer to the one before, to find the highest rate. */
export const loopSchema = v.strictObject({
  name: v.string(),
  urls: v.pipe(v.array(v.string()), v.minLength(1)),
  headers: v.optional(v.record(v.string(), v.string()), {}),
  concurrency: v.pipe(v.number(), v.integer(), v.minValue(1)),
  startMs: timeMsSchema,
  endMs: timeMsSchema,
});

/** Everything that one load generator sends. */
export const loadSpecSchema = v.strictObject({
  streams: v.optional(v.array(streamSchema), []),
  loops: v.optional(v.array(loopSchema), []),
});

/** What became of a request; `broken` where the connection ended without a whole answer. */
export const outcomeSchema = v.picklist(["answered", "not-run", "unknown", "direct", "broken"]);

/** One request as its caller saw it; times count from the start of the load. */
export const requestResultSchema = v.strictObject({
  name: v.string(),
  intendedAtMs: v.number(),
  /** From the intended time of sending to the end of the answer. */
  latencyMs: v.number(),
  outcome: outcomeSchema,
  status: v.nullable(v.number()),
});

/** Everything that one load generator saw. */
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
