/**
 * Whether the owner (the elected leader) may still give orders. It may for a bounded time after it
 * last proved that no other owner has taken over: by renewing its lease in the store or, during an
 * outage of the store, by responses from a majority of the workers, since a new owner first sends
 * its fencing token to all workers that it reaches.
 *
 * @module
 */

/**
 * How long a proof is valid. This is shorter than the owner's lease, so that proofs expire before
 * the lease. A new owner waits this long before it restarts tasks whose runs it can't see.
 */
export const PROOF_VALIDITY_MS = 1_600;

/**
 * How many renewals in a row have to fail before the owner asks its peers whether the store serves them.
 * A single answer may be lost; a slow store fails none.
 */
export const FAILED_RENEWALS_BEFORE_OFFER = 2;
/** How often it asks. */
export const OFFER_INTERVAL_MS = 300;
/** How many peers it asks at a time; the store may refuse a third of all nodes. */
export const MAX_OFFERED_PEERS = 6;

/** The ownership proofs of one term. */
export class OwnershipProof {
  #storeProofAtMs = Number.NEGATIVE_INFINITY;
  readonly #workerProofsAtMs = new Map<string, number>();
  #isInvalidated = false;

  /** Records a lease renewal by the store; proofs are valid from the time of the request. */
  recordStoreProof(askedAtMs: number): void {
    this.#storeProofAtMs = Math.max(this.#storeProofAtMs, askedAtMs);
  }

  /** Records that a worker accepted the fencing token. */
  recordWorkerProof(workerId: string, askedAtMs: number): void {
    this.#workerProofsAtMs.set(workerId, askedAtMs);
  }

  /** Invalidates all proofs for good, as another owner has been seen. */
  invalidate(): void {
    this.#isInvalidated = true;
  }

  isStoreProofValid(nowMs: number): boolean {
    return !this.#isInvalidated && nowMs - this.#storeProofAtMs <= PROOF_VALIDITY_MS;
  }

  /** Whether the owner may give orders; `workerIds` are all known workers. */
  isValid(nowMs: number, workerIds: Iterable<string>): boolean {
    if (this.isStoreProofValid(nowMs)) {
      return true;
    }
    let knownCount = 0;
    let provenCount = 0;
    for (const workerId of workerIds) {
      knownCount++;
      const provenAtMs = this.#workerProofsAtMs.get(workerId) ?? Number.NEGATIVE_INFINITY;
      provenCount += nowMs - provenAtMs <= PROOF_VALIDITY_MS ? 1 : 0;
    }
    return !this.#isInvalidated && knownCount > 0 && provenCount * 2 > knownCount;
  }
}
