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

/** The deletions of the chunks of the old head that the new one doesn't name. */
export function chunkDeletions(
  old: schema.head.Head,
  chunks: readonly policy.configChunks.Chunk[],
): readonly ports.store.Write[] {
  const kept = new Set(chunks.map((chunk) => chunk.digest));
  return old.chunks
    .filter((ref) => !kept.has(ref.digest))
    .map((ref) => ({ kind: "delete", key: schema.storeKeys.chunkKey(ref.digest) }));
}

/** The listed chunks that a head doesn't name and that were last written before it. */
export function unusedChunks(
  listed: readonly ports.store.StoredValue[],
  { head, modRevision }: { readonly head: schema.head.Head; readonly modRevision: number },
): readonly ports.store.Compare[] {
  const named = new Set(head.chunks.map((ref) => schema.storeKeys.chunkKey(ref.digest)));
  return listed
    .filter((stored) => !named.has(stored.key) && stored.modRevision < modRevision)
    .map((stored) => ({ key: stored.key, modRevision: stored.modRevision }));
}
