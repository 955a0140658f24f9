/**
 * Writes of configuration chunks, in groups that fit into one transaction.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The most chunk text written in one transaction. */
const MAX_TRANSACTION_CHUNK_BYTES = 786_432;
/** The most chunks written, and the most deleted, in one transaction; the service takes 128 writes. */
export const MAX_TRANSACTION_CHUNKS = 50;

/** Groups the puts of chunks so that each group fits into one transaction. */
export function batchChunks(
  chunks: readonly policy.configChunks.Chunk[],
): readonly (readonly ports.store.Write[])[] {
  const batches: ports.store.Write[][] = [];
  let roomBytes = 0;
  for (const { digest, bytes, text } of chunks) {
    const last = batches.at(-1);
    const put = { kind: "put", key: schema.storeKeys.chunkKey(digest), value: text } as const;
    if (last === undefined || bytes > roomBytes || last.length === MAX_TRANSACTION_CHUNKS) {
      batches.push([put]);
      roomBytes = MAX_TRANSACTION_CHUNK_BYTES - bytes;
    } else {
      last.push(put);
      roomBytes -= bytes;
    }
  }
  return batches;
}

/** The deletions of the chunks of the old head that the new one doesn't name. */
export function deletions(
  old: schema.head.Head,
  chunks: readonly policy.configChunks.Chunk[],
): readonly ports.store.Write[] {
  const kept = new Set(chunks.map((chunk) => chunk.digest));
  return old.chunks
    .filter((ref) => !kept.has(ref.digest))
    .map((ref) => ({ kind: "delete", key: schema.storeKeys.chunkKey(ref.digest) }));
}
