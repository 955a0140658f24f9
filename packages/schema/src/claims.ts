/**
 * Records of claimed idempotency keys, as kept in the platform store.
 *
 * @module
 */
import * as v from "valibot";
import { countSchema, nameSchema } from "./names.ts";

/** Names the one incarnation that may append to a shard. */
export const ownerSchema = v.object({
  memberId: nameSchema,
  /** Unique for each change of owner, so that a re-read tells whether a write took effect. */
  changeId: v.string(),
});

/** A key was claimed for one submission. */
export const claimedSchema = v.object({
  kind: v.literal("claimed"),
  /** Digest of team and idempotency key. */
  keyDigest: v.string(),
  requestId: v.string(),
  /** Digest of method, path and body. */
  fingerprint: v.string(),
  /** The time inside the UUIDv7, in milliseconds since the Unix epoch. */
  idTimeMs: countSchema,
  /** The owner's wall-clock time of the claim, in milliseconds since the Unix epoch. */
  claimedAtMs: countSchema,
});

/** How a claimed submission ended. */
export const endedSchema = v.object({
  kind: v.literal("ended"),
  keyDigest: v.string(),
  requestId: v.string(),
  idTimeMs: countSchema,
  outcome: v.picklist(["answered", "notRun", "unknown"]),
  status: v.nullable(countSchema),
});

/** One entry of a segment. */
export const recordSchema = v.variant("kind", [claimedSchema, endedSchema]);

/** One group commit of a shard. */
export const segmentSchema = v.object({ records: v.array(recordSchema) });

export type Owner = v.InferOutput<typeof ownerSchema>;
export type Claimed = v.InferOutput<typeof claimedSchema>;
export type Ended = v.InferOutput<typeof endedSchema>;
export type ClaimRecord = v.InferOutput<typeof recordSchema>;
export type Segment = v.InferOutput<typeof segmentSchema>;
