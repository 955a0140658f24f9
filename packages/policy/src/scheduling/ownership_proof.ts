/**
 * Whether the owner may still give orders. It may for a bounded time after it last proved that no other
 * owner has taken over: by renewing its lease in the store, or, while the store is out, by answers of a
 * majority of the workers, since a new owner first shows its token to all workers that it reaches.
 *
 * @module
 */

/**
 * How long a proof lasts; shorter than the owner's lease, so that it has run out when the lease ends. A new
 * owner waits that long before it restarts what it can't see.
 */
export const PROOF_VALIDITY_MS = 1_600;

/** The proofs of one term. */
export class OwnershipProof {
  #storeProofMs = Number.NEGATIVE_INFINITY;
  readonly #workerProofsMs = new Map<string, number>();
  #isOver = false;

  /** The store has renewed the lease; proofs count from when they were asked for. */
  recordStoreProof(askedAtMs: number): void {
    this.#storeProofMs = Math.max(this.#storeProofMs, askedAtMs);
  }

  /** A worker has accepted the token. */
  recordWorkerProof(workerId: string, askedAtMs: number): void {
    this.#workerProofsMs.set(workerId, askedAtMs);
  }

  /** Another owner has been seen. */
  invalidate(): void {
    this.#isOver = true;
  }

  isStoreProofValid(nowMs: number): boolean {
    return !this.#isOver && nowMs - this.#storeProofMs <= PROOF_VALIDITY_MS;
  }

  /** Whether orders may be given, where `workerIds` are all workers known. */
  isValid(nowMs: number, workerIds: Iterable<string>): boolean {
    if (this.isStoreProofValid(nowMs)) {
      return true;
    }
    let known = 0;
    let proven = 0;
    for (const workerId of workerIds) {
      known++;
      const provenAtMs = this.#workerProofsMs.get(workerId) ?? Number.NEGATIVE_INFINITY;
      proven += nowMs - provenAtMs <= PROOF_VALIDITY_MS ? 1 : 0;
    }
    return !this.#isOver && known > 0 && proven * 2 > known;
  }
}
