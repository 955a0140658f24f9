/**
 * Idempotency keys are version 7 UUIDs, whose first 48 bits are a Unix timestamp in milliseconds.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as uuid from "uuid";

/** The UUID version that starts with a timestamp. */
const UUID_VERSION = 7;
/** Hexadecimal digits of the 48-bit timestamp, not counting hyphens. */
const TIMESTAMP_HEX_DIGITS = 12;

/** Timestamp of a UUIDv7 in milliseconds since the Unix epoch; null for any other text. */
export function uuidV7TimeMs(id: string): number | null {
  if (!uuid.validate(id) || uuid.version(id) !== UUID_VERSION) {
    return null;
  }
  return Number.parseInt(id.replaceAll("-", "").slice(0, TIMESTAMP_HEX_DIGITS), 16);
}

/**
 * Digest under which the claim of a team's idempotency key is stored. It covers the team, so that
 * equal keys of two teams have different digests.
 */
export function digestOfKey(team: string, idempotencyKey: string): string {
  return createHash("sha256").update(`${team}\n${idempotencyKey.toLowerCase()}`).digest(
    "base64url",
  );
}

/** Zero-based index of the claim shard that a key digest belongs to. */
export function shardOfDigest(keyDigest: string, shardCount: number): number {
  return Buffer.from(keyDigest, "base64url").readUInt32BE(0) % shardCount;
}
