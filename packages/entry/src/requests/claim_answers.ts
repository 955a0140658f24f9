/**
 * Maps the results of idempotency key claims to refusals, and outcomes of requests to claim
 * outcomes. A claim is the deduplication record of an idempotency key.
 *
 * @module
 */
import type { requests as policy } from "@jackdawlink/policy";
import type { http, peer } from "@jackdawlink/schema";

/** The claim results that don't allow the request to run. */
export type RefusedClaimResult = Exclude<peer.ClaimAnswer["result"], "granted">;

/** A refusal with the outcome of all requests with the key, as far as it is known. */
export interface ClaimRefusal {
  readonly type: policy.outcome.RefusalType;
  readonly outcome: http.Outcome;
}

/**
 * Refusals by claim result. The outcome covers all submissions of the key, not only the refused
 * one: if an earlier submission may have run, "not-run" would mislead the caller into retrying with
 * a new key.
 */
export const CLAIM_REFUSALS: Readonly<Record<RefusedClaimResult, ClaimRefusal>> = {
  running: { type: "claimRunning", outcome: "unknown" },
  answered: { type: "claimAnswered", outcome: "answered" },
  mayHaveRun: { type: "claimMayHaveRun", outcome: "unknown" },
  mismatch: { type: "claimMismatch", outcome: "not-run" },
  outsideWindow: { type: "claimTooOld", outcome: "unknown" },
  unavailable: { type: "claimUnavailable", outcome: "not-run" },
};

/** The outcomes that are stored with a claim, by the outcome reported to the caller. */
export const CLAIM_OUTCOMES: Readonly<Record<http.Outcome, peer.ClaimOutcome["outcome"]>> = {
  "answered": "answered",
  "not-run": "notRun",
  "unknown": "unknown",
};
