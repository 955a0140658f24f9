/**
 * The head record: the one value in the platform store that names the revision in force, the
 * members, and the fenced incarnations. It only moves by compare-and-swap.
 *
 * @module
 */
import * as v from "valibot";
import { addressSchema, countSchema, nameSchema } from "./names.ts";

/** One entry process. A restart or a return after fencing makes a new incarnation. */
export const memberSchema = v.object({
  memberId: nameSchema,
  incarnation: v.string(),
  peerAddress: addressSchema,
  operatorAddress: addressSchema,
  availabilityZone: nameSchema,
  leaving: v.optional(v.boolean(), false),
});

/** An incarnation that may act no more; its permits count as in use for a while. */
export const fenceSchema = v.object({
  memberId: nameSchema,
  incarnation: v.string(),
  /** The head revision that fenced it. */
  revision: countSchema,
  /** True where the member left by itself with nothing running, so that no wait is needed. */
  clean: v.boolean(),
  /**
   * True where it was published without a majority of the members before it. Such a fence is accepted
   * only once `maxStoreOutageMs` has passed, since the fenced ones may still hear one another.
   */
  withoutMajority: v.optional(v.boolean(), false),
});

/** Where one part of the configuration's JSON text is stored. */
export const chunkRefSchema = v.object({
  digest: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  bytes: countSchema,
});

/** The head record. Every change, also of members and fences, raises `revision` by one. */
export const headSchema = v.object({
  revision: countSchema,
  /** Unique for each change, so that a re-read tells whether a write with a lost answer took effect. */
  changeId: v.string(),
  /** The revision at which the configuration last changed. */
  configRevision: countSchema,
  /** The revision at which the member list last changed. */
  membersRevision: countSchema,
  chunks: v.array(chunkRefSchema),
  members: v.array(memberSchema),
  fences: v.array(fenceSchema),
  author: v.string(),
  summary: v.string(),
  changedAtMs: v.number(),
});

export type Member = v.InferOutput<typeof memberSchema>;
export type Fence = v.InferOutput<typeof fenceSchema>;
export type ChunkRef = v.InferOutput<typeof chunkRefSchema>;
export type Head = v.InferOutput<typeof headSchema>;

/** The head before anything has been published. */
export const EMPTY_HEAD: Head = {
  revision: 0,
  changeId: "",
  configRevision: 0,
  membersRevision: 0,
  chunks: [],
  members: [],
  fences: [],
  author: "",
  summary: "",
  changedAtMs: 0,
};
