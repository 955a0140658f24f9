/**
 * Claims of idempotency keys.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** Identifies one submission of a keyed request. */
export interface KeyedRequest {
  readonly team: string;
  readonly idempotencyKey: string;
  /** Digest of method, path and body: the same key with another request is a mismatch. */
  readonly fingerprint: string;
  /** How long the caller will wait, in milliseconds. */
  readonly timeoutMs: number;
}

/** Claims keys before their requests are sent, and keeps how they ended. */
export interface Claims {
  /** Only `granted` permits a run. Never rejects. */
  claim(ask: KeyedRequest): Promise<Pick<peer.ClaimAnswer, "result" | "status">>;
  finish(
    ask: Pick<KeyedRequest, "team" | "idempotencyKey">,
    end: Pick<peer.ClaimOutcome, "outcome" | "status">,
  ): void;
}
