/**
 * Idempotency keys: UUIDs of version 7, whose first 48 bits are a time.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as uuid from "uuid";

/** The version of UUID that carries its time. */
const UUID_VERSION = 7;
/** The hexadecimal digits of the time, after hyphens are removed. */
const TIMESTAMP_HEX_DIGITS = 12;

/** The time inside a UUIDv7 in milliseconds since the Unix epoch; null for any other text. */
export function uuidV7TimeMs(id: string): number | null {
  if (!uuid.validate(id) || uuid.version(id) !== UUID_VERSION) {
    return null;
  }
  return Number.parseInt(id.replaceAll("-", "").slice(0, TIMESTAMP_HEX_DIGITS), 16);
}

/** The digest under which a team's key is kept; two teams never share one. */
export function digestOfKey(team: string, idempotencyKey: string): string {
  return createHash("sha256").update(`${team}\n${idempotencyKey.toLowerCase()}`).digest(
    "base64url",
  );
}

/** The shard of a digest, from zero. */
export function shardOfDigest(keyDigest: string, shardCount: number): number {
  return Buffer.from(keyDigest, "base64url").readUInt32BE(0) % shardCount;
}
