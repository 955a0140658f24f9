/**
 * Splits a configuration into content-addressed chunks and joins them again. Each kind of object
 * has its own chunks; a large kind is spread over buckets by a hash of the object name, so that a
 * change of one object rewrites one small chunk.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as schema from "@jackdawlink/schema";
import { err, ok, Result } from "neverthrow";
import * as v from "valibot";
import { stringifyCanonically } from "./canonical_json.ts";

/** One part of the configuration's text; `digest` is the SHA-256 of `text`. */
export interface Chunk extends schema.head.ChunkRef {
  readonly text: string;
}

/** The objects of one chunk; the tables of the other kinds are empty. */
export type ChunkTables = schema.config.Config;

/** Upper bound of the mean size of a kind's buckets. */
const BUCKET_TARGET_BYTES = 16_384;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const chunkSchema = v.strictObject({
  kind: v.string(),
  objects: v.record(v.string(), v.unknown()),
});

/** The chunks of a configuration, in a fixed order. Kinds without objects have none. */
export function splitConfig(config: schema.config.Config): readonly Chunk[] {
  return Object.entries(config).flatMap(([kind, objects]) => splitKind(kind, objects));
}

/** Parses one chunk and checks its objects against the schema. */
export function parseChunk(text: string): Result<ChunkTables, schema.errors.JackdawlinkError> {
  const chunk = parseChunkText(text);
  if (chunk === null) return err(invalidConfig("a chunk is not of its schema"));
  const tables = v.safeParse(schema.config.configSchema, { [chunk.kind]: chunk.objects });
  if (tables.success) return ok(tables.output);
  const issue = tables.issues[0];
  return err(invalidConfig(`${v.getDotPath(issue) ?? ""}: ${issue.message}`));
}

/** Merges parsed chunks into one configuration. */
export function mergeChunks(chunks: readonly ChunkTables[]): schema.config.Config {
  const config = schema.config.emptyConfig();
  for (const tables of chunks) {
    for (const [kind, objects] of Object.entries(tables)) {
      Object.assign(config[kind as schema.config.ObjectKind], objects);
    }
  }
  return config;
}

/** Parses chunk texts and merges them into one configuration. */
export function joinChunks(
  texts: readonly string[],
): Result<schema.config.Config, schema.errors.JackdawlinkError> {
  return Result.combine(texts.map(parseChunk)).map(mergeChunks);
}

/** The SHA-256 of a chunk's text, in hexadecimal digits. */
export function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function splitKind(kind: string, objects: Record<string, unknown>): readonly Chunk[] {
  const names = Object.keys(objects).sort();
  if (names.length === 0) return [];
  const kindBytes = Buffer.byteLength(stringifyCanonically(objects));
  const bucketCount = bucketCountFor(kindBytes);
  const buckets = new Map<number, Record<string, unknown>>();
  for (const name of names) {
    const index = hashName(name) % bucketCount;
    const bucket = buckets.get(index) ?? {};
    buckets.set(index, bucket);
    bucket[name] = objects[name];
  }
  const sortedBuckets = [...buckets].sort(([left], [right]) => left - right);
  return sortedBuckets.map(([, bucket]) => makeChunk(kind, bucket));
}

/** The smallest power of two that keeps the mean bucket size within its target. */
function bucketCountFor(kindBytes: number): number {
  let count = 1;
  while (kindBytes / count > BUCKET_TARGET_BYTES) count *= 2;
  return count;
}

function makeChunk(kind: string, objects: Record<string, unknown>): Chunk {
  const text = stringifyCanonically({ kind, objects });
  return { digest: digestOf(text), bytes: Buffer.byteLength(text), text };
}

/** FNV-1a hash of an object name. */
function hashName(name: string): number {
  let hash = FNV_OFFSET;
  for (const byte of Buffer.from(name)) hash = Math.imul(hash ^ byte, FNV_PRIME) >>> 0;
  return hash;
}

function parseChunkText(text: string): v.InferOutput<typeof chunkSchema> | null {
  try {
    const parsed = v.safeParse(chunkSchema, JSON.parse(text));
    return parsed.success ? parsed.output : null;
  } catch {
    return null;
  }
}

function invalidConfig(reason: string): schema.errors.JackdawlinkError {
  return new schema.errors.InvalidInputError(`The stored configuration is not valid: ${reason}`);
}
