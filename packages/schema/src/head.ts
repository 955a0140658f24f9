/**
 * The head record: the single value in the platform store that holds the current revision, the
 * members, and the fenced incarnations. It is only updated by compare-and-swap.
 *
 * @module
 */
import * as v from "valibot";
import { addressSchema, countSchema, nameSchema } from "./names.ts";

/** An entry process. It gets a new incarnation when it restarts or rejoins after being fenced. */
export const memberSchema = v.object({
  memberId: nameSchema,
  incarnation: v.string(),
  peerAddress: addressSchema,
  operatorAddress: addressSchema,
  availabilityZone: nameSchema,
  leaving: v.optional(v.boolean(), false),
});

/**
 * A fenced incarnation: it must stop acting. Its permits count as in use for a while after the
 * fence was accepted.
 */
export const fenceSchema = v.object({
  memberId: nameSchema,
  incarnation: v.string(),
  /** The head revision that fenced it. */
  revision: countSchema,
  /**
   * True if the member left on its own with nothing running; its permits are free without a wait.
   */
  clean: v.boolean(),
  /**
   * True if the fence was published without a majority of the previous members. Such a fence is
   * only accepted after `maxStoreOutageMs`, since the fenced members may still be in contact with
   * each other.
   */
  withoutMajority: v.optional(v.boolean(), false),
});

/** A reference to a chunk of the configuration's JSON text, stored under its digest. */
export const chunkRefSchema = v.object({
  digest: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  bytes: countSchema,
});

/** The head record. Every change, including one of members or fences, increments `revision`. */
export const headSchema = v.object({
  revision: countSchema,
  /**
   * Unique for each change; a re-read compares it to find out whether an unanswered write took
   * effect.
   */
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

/** The head before the first change. */
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
