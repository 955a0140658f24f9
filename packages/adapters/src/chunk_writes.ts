/**
 * Builds the writes of configuration chunks, in batches that fit into one transaction.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The maximum size of the chunk text written in one transaction. */
const MAX_TRANSACTION_CHUNK_BYTES = 786_432;
/**
 * The maximum number of chunks put, and deleted, in one transaction; the store allows 128 writes.
 */
export const MAX_TRANSACTION_CHUNKS = 50;

/** Groups the puts of chunks into batches that each fit into one transaction. */
export function batchChunks(
  chunks: readonly policy.configChunks.Chunk[],
  maxChunks: number,
): readonly (readonly ports.store.Write[])[] {
  const batches: ports.store.Write[][] = [];
  let freeBytes = 0;
  for (const { digest, bytes, text } of chunks) {
    const last = batches.at(-1);
    const put = { kind: "put", key: schema.storeKeys.chunkKey(digest), value: text } as const;
    if (last === undefined || bytes > freeBytes || last.length === maxChunks) {
      batches.push([put]);
      freeBytes = MAX_TRANSACTION_CHUNK_BYTES - bytes;
    } else {
      last.push(put);
      freeBytes -= bytes;
    }
  }
  return batches;
}

/** Returns the deletions of chunks that the old head references and the new one does not. */
export function chunkDeletions(
  old: schema.head.Head,
  chunks: readonly policy.configChunks.Chunk[],
): readonly ports.store.Write[] {
  const kept = new Set(chunks.map((chunk) => chunk.digest));
  return old.chunks
    .filter((ref) => !kept.has(ref.digest))
    .map((ref) => ({ kind: "delete", key: schema.storeKeys.chunkKey(ref.digest) }));
}

/**
 * Returns the listed chunks that a head does not reference and that were last written before it.
 */
export function unusedChunks(
  listed: readonly ports.store.StoredValue[],
  { head, modRevision }: { readonly head: schema.head.Head; readonly modRevision: number },
): readonly ports.store.Compare[] {
  const named = new Set(head.chunks.map((ref) => schema.storeKeys.chunkKey(ref.digest)));
  return listed
    .filter((stored) => !named.has(stored.key) && stored.modRevision < modRevision)
    .map((stored) => ({ key: stored.key, modRevision: stored.modRevision }));
}
