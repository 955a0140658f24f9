/**
 * Assigns pools, waves and jobs to stewards by rendezvous hashing. The assignment only avoids
 * duplicate work; correctness doesn't depend on it.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The steward with the highest rendezvous hash for a subject; undefined without stewards. */
export function stewardFor(subject: string, stewards: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  for (const steward of stewards) {
    const hash = hashOf(`${steward}\n${subject}`);
    if (hash > bestHash) {
      best = steward;
      bestHash = hash;
    }
  }
  return best;
}

/** The index of the segment that stores a job, out of `segments`. */
export function segmentOf(jobId: string, segments: number): number {
  return hashOf(jobId) % segments;
}

/** The 32-bit FNV-1a hash of a text, with a finalizer so that similar texts differ in all bits. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}
