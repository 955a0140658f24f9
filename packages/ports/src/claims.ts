/**
 * Claims of idempotency keys. A claim is the deduplication record of a keyed request.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** One submission of a request with an idempotency key. */
export interface KeyedRequest {
  readonly team: string;
  readonly idempotencyKey: string;
  /** Digest of method, path and body. Reusing a key with a different fingerprint is a mismatch. */
  readonly fingerprint: string;
  /** How long the caller will wait, in milliseconds. */
  readonly timeoutMs: number;
}

/** Claims keys before their requests are forwarded, and records the outcome of the requests. */
export interface Claims {
  /** Claims a key. The request may only be run if the result is `granted`. Never rejects. */
  claim(request: KeyedRequest): Promise<Pick<peer.ClaimAnswer, "result" | "status">>;
  /** Records the outcome of a request whose key was claimed. */
  finish(
    request: Pick<KeyedRequest, "team" | "idempotencyKey">,
    outcome: Pick<peer.ClaimOutcome, "outcome" | "status">,
  ): void;
}
