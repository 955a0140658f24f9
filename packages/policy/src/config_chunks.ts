/**
 * Splits a configuration into content-addressed chunks and joins them again. Each kind of object has
 * its own chunks; a large kind is spread over buckets by a hash of the name, so that a change of one
 * object rewrites one small chunk.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { stringifyCanonically } from "./canonical_json.ts";

/** One part of the configuration's text; `digest` is the SHA-256 of `text`. */
export interface Chunk extends schema.head.ChunkRef {
  readonly text: string;
}

/** The mean size to which the buckets of a kind are held. */
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

/** Puts chunk texts together and checks the result against the schema. */
export function joinChunks(
  texts: readonly string[],
): Result<schema.config.Config, schema.errors.JackdawlinkError> {
  const tables: Record<string, Record<string, unknown>> = {};
  for (const text of texts) {
    const chunk = parseChunk(text);
    if (chunk === null) return err(invalid("a chunk is not of its schema"));
    tables[chunk.kind] = { ...tables[chunk.kind], ...chunk.objects };
  }
  const parsed = v.safeParse(schema.config.configSchema, tables);
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0];
  return err(invalid(`${v.getDotPath(issue) ?? ""}: ${issue.message}`));
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
  const inOrder = [...buckets].sort(([left], [right]) => left - right);
  return inOrder.map(([, bucket]) => makeChunk(kind, bucket));
}

/** The smallest power of two that brings the mean bucket below its target. */
function bucketCountFor(kindBytes: number): number {
  let count = 1;
  while (kindBytes / count > BUCKET_TARGET_BYTES) count *= 2;
  return count;
}

function makeChunk(kind: string, objects: Record<string, unknown>): Chunk {
  const text = stringifyCanonically({ kind, objects });
  return { digest: digestOf(text), bytes: Buffer.byteLength(text), text };
}

function hashName(name: string): number {
  let hash = FNV_OFFSET;
  for (const byte of Buffer.from(name)) hash = Math.imul(hash ^ byte, FNV_PRIME) >>> 0;
  return hash;
}

function parseChunk(text: string): v.InferOutput<typeof chunkSchema> | null {
  try {
    const parsed = v.safeParse(chunkSchema, JSON.parse(text));
    return parsed.success ? parsed.output : null;
  } catch {
    return null;
  }
}

function invalid(reason: string): schema.errors.JackdawlinkError {
  return new schema.errors.InvalidInputError(`The stored configuration is not valid: ${reason}`);
}
