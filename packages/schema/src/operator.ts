/**
 * Paths and responses of the HTTP interface that entries and stewards offer to operators.
 *
 * @module
 */
import * as v from "valibot";

/** `GET /v1/status` of an entry. */
export const STATUS_PATH = "/v1/status";
/** `GET /v1/explain/<id>` of an entry or steward. */
export const EXPLAIN_PATH_PREFIX = "/v1/explain/";

/**
 * Why an entry is up to date within the staleness bound: its own store read, a peer's, or a quorum.
 */
export const freshnessSourceSchema = v.picklist(["store", "peerRead", "majority"]);

/** A listed member as seen by the responding entry. */
export const memberStatusSchema = v.object({
  memberId: v.string(),
  revision: v.number(),
  /** Time since its last heartbeat, in milliseconds; null if none has been received. */
  heardAgeMs: v.nullable(v.number()),
});

/** The response of {@link STATUS_PATH}: the state of an entry. */
export const statusSchema = v.object({
  memberId: v.string(),
  /** Null while the entry is not a listed member. */
  incarnation: v.nullable(v.string()),
  fresh: v.boolean(),
  freshBy: v.nullable(freshnessSourceSchema),
  /** The head revision that the entry has loaded. */
  revision: v.number(),
  /** The highest head revision that the entry knows to be in force. */
  acceptedRevision: v.number(),
  members: v.array(memberStatusSchema),
  draining: v.boolean(),
});

/** A logged decision about a request, VM, job or wave. */
export const explainedLineSchema = v.object({
  atMs: v.number(),
  part: v.string(),
  message: v.string(),
  fields: v.record(v.string(), v.unknown()),
});

/** The decisions that a process has retained for an id, oldest first; empty for an unknown id. */
export const explanationSchema = v.object({ lines: v.array(explainedLineSchema) });

export type FreshnessSource = v.InferOutput<typeof freshnessSourceSchema>;
export type Status = v.InferOutput<typeof statusSchema>;
export type ExplainedLine = v.InferOutput<typeof explainedLineSchema>;
export type Explanation = v.InferOutput<typeof explanationSchema>;
