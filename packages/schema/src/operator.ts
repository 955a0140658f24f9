/**
 * The operators' HTTP interface of entries and stewards: what it answers.
 *
 * @module
 */
import * as v from "valibot";

/** `GET /v1/status` of an entry. */
export const STATUS_PATH = "/v1/status";
/** `GET /v1/explain/<id>` of an entry or steward. */
export const EXPLAIN_PATH_PREFIX = "/v1/explain/";

/** By what an entry is fresh: its own read of the store, a peer's, or contact with a majority. */
export const freshnessSourceSchema = v.picklist(["store", "peerRead", "majority"]);

/** One listed member as the answering entry sees it. */
export const memberStatusSchema = v.object({
  memberId: v.string(),
  revision: v.number(),
  /** How long ago it was heard, in milliseconds; null where it has not been heard. */
  heardAgeMs: v.nullable(v.number()),
});

/** The state of an entry. */
export const statusSchema = v.object({
  memberId: v.string(),
  /** Null while the entry is not listed. */
  incarnation: v.nullable(v.string()),
  fresh: v.boolean(),
  freshBy: v.nullable(freshnessSourceSchema),
  /** The revision that the entry holds. */
  revision: v.number(),
  /** The highest revision that the entry knows to be in force. */
  acceptedRevision: v.number(),
  members: v.array(memberStatusSchema),
  draining: v.boolean(),
});

/** One decision about a request, VM, job or wave. */
export const explainedLineSchema = v.object({
  atMs: v.number(),
  part: v.string(),
  message: v.string(),
  fields: v.record(v.string(), v.unknown()),
});

/** The decisions that a process still has about an id, oldest first; none for an unknown id. */
export const explanationSchema = v.object({ lines: v.array(explainedLineSchema) });

export type FreshnessSource = v.InferOutput<typeof freshnessSourceSchema>;
export type Status = v.InferOutput<typeof statusSchema>;
export type ExplainedLine = v.InferOutput<typeof explainedLineSchema>;
export type Explanation = v.InferOutput<typeof explanationSchema>;
