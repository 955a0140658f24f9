/**
 * What a caller is told when the claim of its idempotency key is not granted.
 *
 * @module
 */
import type { requests as policy } from "@jackdawlink/policy";
import type { http, peer } from "@jackdawlink/schema";

/** The results that don't permit a run. */
export type RefusedClaimResult = Exclude<peer.ClaimAnswer["result"], "granted">;

/** A refusal with the outcome of the key's work, as far as it is known. */
export interface ClaimRefusal {
  readonly type: policy.outcome.RefusalType;
  readonly outcome: http.Outcome;
}

/**
 * The outcome tells about the key's work rather than about this submission alone: where an earlier
 * submission may have run, "not run" would mislead the caller into using a new key.
 */
export const CLAIM_REFUSALS: Readonly<Record<RefusedClaimResult, ClaimRefusal>> = {
  running: { type: "claimRunning", outcome: "unknown" },
  answered: { type: "claimAnswered", outcome: "answered" },
  mayHaveRun: { type: "claimMayHaveRun", outcome: "unknown" },
  mismatch: { type: "claimMismatch", outcome: "not-run" },
  outsideWindow: { type: "claimTooOld", outcome: "unknown" },
  unavailable: { type: "claimUnavailable", outcome: "not-run" },
};

/** How the end of a request is kept with its key. */
export const CLAIM_OUTCOMES: Readonly<Record<http.Outcome, peer.ClaimOutcome["outcome"]>> = {
  "answered": "answered",
  "not-run": "notRun",
  "unknown": "unknown",
};
