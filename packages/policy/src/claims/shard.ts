/**
 * Claims are the deduplication records of idempotency keys. A shard rebuilds its claims from stored
 * records and decides on new ones.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

type ClaimRecord = schema.claims.ClaimRecord;
type Claimed = schema.claims.Claimed;

/** The result sent to the entry that asked for the claim. */
export type ClaimResult = Pick<schema.peer.ClaimAnswer, "result" | "status">;

/** What to do with a claim: answer at once, or store the record and then answer `granted`. */
export type ClaimDecision =
  | { readonly kind: "answer"; readonly answer: ClaimResult }
  | { readonly kind: "store"; readonly record: Claimed };

/** How long idempotency keys are accepted and kept, in milliseconds. */
export interface ClaimWindowOptions {
  /** Keys older than this are refused. */
  readonly windowMs: number;
  /** The maximum clock skew between members; claims are kept for twice that beyond the window. */
  readonly clockSkewMs: number;
}

/** The latest submission of a key, unless that submission ended without running. */
interface Submission {
  readonly claimed: Claimed;
  outcome: "running" | "answered" | "unknown";
  status: number | null;
}

/** How long a submission without a recorded outcome is reported as running, not `mayHaveRun`. */
const MAX_REPORTED_RUNNING_MS = 60_000;

/** Answers to a claim, by the outcome of an earlier submission of the same key. */
const ANSWER_BY_OUTCOME: Record<
  Submission["outcome"],
  (submission: Submission, nowMs: number) => ClaimResult
> = {
  running: ({ claimed }, nowMs) => ({
    result: nowMs - claimed.claimedAtMs <= MAX_REPORTED_RUNNING_MS ? "running" : "mayHaveRun",
    status: null,
  }),
  answered: ({ status }) => ({ result: "answered", status }),
  unknown: () => ({ result: "mayHaveRun", status: null }),
};

/** The claims of one shard, rebuilt by applying its stored records. */
export class ClaimShard {
  readonly #options: ClaimWindowOptions;
  readonly #submissionByDigest = new Map<string, Submission>();
  /**
   * Key timestamps by request ID, for submissions that ended without running. The claim of such a
   * submission may be stored only after its end.
   */
  readonly #notRunRequestIds = new Map<string, number>();

  constructor(options: ClaimWindowOptions) {
    this.#options = options;
  }

  /** The number of keys held. */
  get size(): number {
    return this.#submissionByDigest.size;
  }

  /** Applies one stored record. */
  apply(record: ClaimRecord): void {
    if (record.kind === "claimed") {
      this.#applyClaimed(record);
      return;
    }
    this.#applyEnded(record);
  }

  /** Decides on a claim; `nowMs` is in milliseconds since the Unix epoch. */
  decide(claim: Claimed, nowMs: number): ClaimDecision {
    if (this.#notRunRequestIds.has(claim.requestId)) {
      return { kind: "answer", answer: { result: "unavailable", status: null } };
    }
    const earlier = this.#submissionByDigest.get(claim.keyDigest);
    if (earlier !== undefined) {
      return { kind: "answer", answer: this.#answerDuplicate(earlier, { claim, nowMs }) };
    }
    // The window is checked last, so that a stored outcome is reported for as long as it is kept.
    if (!this.#isInWindow(claim.idTimeMs, nowMs)) {
      return { kind: "answer", answer: { result: "outsideWindow", status: null } };
    }
    return { kind: "store", record: claim };
  }

  /** Removes keys that can't be claimed again because every member refuses them as too old. */
  forgetExpired(nowMs: number): void {
    for (const [keyDigest, submission] of this.#submissionByDigest) {
      if (isExpired(submission.claimed.idTimeMs, nowMs, this.#options)) {
        this.#submissionByDigest.delete(keyDigest);
      }
    }
    for (const [requestId, idTimeMs] of this.#notRunRequestIds) {
      if (isExpired(idTimeMs, nowMs, this.#options)) {
        this.#notRunRequestIds.delete(requestId);
      }
    }
  }

  #applyClaimed(record: Claimed): void {
    if (this.#notRunRequestIds.has(record.requestId)) {
      return;
    }
    const earlier = this.#submissionByDigest.get(record.keyDigest);
    if (earlier?.claimed.requestId === record.requestId) {
      return;
    }
    this.#submissionByDigest.set(record.keyDigest, {
      claimed: record,
      outcome: "running",
      status: null,
    });
  }

  #applyEnded(record: schema.claims.Ended): void {
    const submission = this.#submissionByDigest.get(record.keyDigest);
    const isLatest = submission?.claimed.requestId === record.requestId;
    if (record.outcome === "notRun") {
      this.#notRunRequestIds.set(record.requestId, record.idTimeMs);
      if (isLatest) {
        this.#submissionByDigest.delete(record.keyDigest);
      }
      return;
    }
    if (isLatest) {
      submission.outcome = record.outcome;
      submission.status = record.status;
    }
  }

  #answerDuplicate(
    earlier: Submission,
    { claim, nowMs }: { claim: Claimed; nowMs: number },
  ): ClaimResult {
    if (earlier.claimed.requestId === claim.requestId) {
      // The same submission repeats its claim after a lost answer; it still runs at most once.
      return { result: "granted", status: null };
    }
    if (earlier.claimed.fingerprint !== claim.fingerprint) {
      return { result: "mismatch", status: null };
    }
    return ANSWER_BY_OUTCOME[earlier.outcome](earlier, nowMs);
  }

  #isInWindow(idTimeMs: number, nowMs: number): boolean {
    const ageMs = nowMs - idTimeMs;
    return ageMs <= this.#options.windowMs && ageMs >= -this.#options.clockSkewMs;
  }
}

/** Whether every member refuses a key with this timestamp as too old, given the maximum skew. */
export function isExpired(idTimeMs: number, nowMs: number, options: ClaimWindowOptions): boolean {
  return nowMs - idTimeMs > options.windowMs + 2 * options.clockSkewMs;
}
