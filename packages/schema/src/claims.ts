/**
 * Claim records in the platform store. A claim is the deduplication record of an idempotency key;
 * claims are spread over shards, and each shard is a log of segments that one owner appends to.
 *
 * @module
 */
import * as v from "valibot";
import { countSchema, nameSchema } from "./names.ts";

/** The owner of a shard: the only member that may append segments to it. */
export const ownerSchema = v.object({
  memberId: nameSchema,
  /**
   * Unique for each change of owner; a re-read compares it to find out whether a write took effect.
   */
  changeId: v.string(),
});

/** Records that an idempotency key was claimed for one submission. */
export const claimedSchema = v.object({
  kind: v.literal("claimed"),
  /** Digest of the team and the idempotency key. */
  keyDigest: v.string(),
  requestId: v.string(),
  /** Digest of the method, path and body of the request. */
  fingerprint: v.string(),
  /** The timestamp inside the UUIDv7 idempotency key, in milliseconds since the Unix epoch. */
  idTimeMs: countSchema,
  /** When the owner accepted the claim, in milliseconds since the Unix epoch by its wall clock. */
  claimedAtMs: countSchema,
});

/** Records the outcome of a claimed submission. */
export const endedSchema = v.object({
  kind: v.literal("ended"),
  keyDigest: v.string(),
  requestId: v.string(),
  idTimeMs: countSchema,
  outcome: v.picklist(["answered", "notRun", "unknown"]),
  status: v.nullable(countSchema),
});

/** One record of a segment. */
export const recordSchema = v.variant("kind", [claimedSchema, endedSchema]);

/** A segment of a shard: the records written by one group commit. */
export const segmentSchema = v.object({ records: v.array(recordSchema) });

export type Owner = v.InferOutput<typeof ownerSchema>;
export type Claimed = v.InferOutput<typeof claimedSchema>;
export type Ended = v.InferOutput<typeof endedSchema>;
export type ClaimRecord = v.InferOutput<typeof recordSchema>;
export type Segment = v.InferOutput<typeof segmentSchema>;
