/**
 * The claims of one shard, rebuilt from its records, and the decision on a new claim.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

type ClaimRecord = schema.claims.ClaimRecord;
type Claimed = schema.claims.Claimed;

/** The result told to the entry that asked. */
export type ClaimResult = Pick<schema.peer.ClaimAnswer, "result" | "status">;

/** What to do with a claim: answer now, or answer `granted` once the record is stored. */
export type ClaimDecision =
  | { readonly kind: "answer"; readonly answer: ClaimResult }
  | { readonly kind: "store"; readonly record: Claimed };

/** How long keys are kept. All times in milliseconds. */
export interface ClaimWindowOptions {
  /** Keys older than this are refused. */
  readonly windowMs: number;
  /** The most by which clocks may differ; stored keys outlive the window by it. */
  readonly clockSkewMs: number;
}

/** The latest submission of one key that has not been freed. */
interface Submission {
  readonly claimed: Claimed;
  outcome: "running" | "answered" | "unknown";
  status: number | null;
}

/** How long a submission without a known end is reported as running; afterwards it may have run. */
const MAX_REPORTED_RUNNING_MS = 60_000;

/** Answers by the state of an earlier submission of the same key. */
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

/** The claims of one shard. */
export class ClaimShard {
  readonly #options: ClaimWindowOptions;
  readonly #submissionByDigest = new Map<string, Submission>();
  /** Submissions that ended without a run; their claims may arrive in the store only afterwards. */
  readonly #notRunRequestIds = new Map<string, number>();

  constructor(options: ClaimWindowOptions) {
    this.#options = options;
  }

  /** The number of keys held. */
  get size(): number {
    return this.#submissionByDigest.size;
  }

  /** Takes over one stored record. */
  apply(record: ClaimRecord): void {
    if (record.kind === "claimed") {
      this.#applyClaimed(record);
      return;
    }
    this.#applyEnded(record);
  }

  /** Decides on a claim at a time in milliseconds since the Unix epoch. */
  decide(claim: Claimed, nowMs: number): ClaimDecision {
    if (this.#notRunRequestIds.has(claim.requestId)) {
      return { kind: "answer", answer: { result: "unavailable", status: null } };
    }
    const earlier = this.#submissionByDigest.get(claim.keyDigest);
    if (earlier !== undefined) {
      return { kind: "answer", answer: this.#answerDuplicate(earlier, { claim, nowMs }) };
    }
    // The window is checked last, so that a kept outcome is told for as long as it is kept.
    if (!this.#isInWindow(claim.idTimeMs, nowMs)) {
      return { kind: "answer", answer: { result: "outsideWindow", status: null } };
    }
    return { kind: "store", record: claim };
  }

  /** Forgets keys that can't be claimed again, because they lie before the window. */
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
      // The same submission asks again because its answer was lost; it still runs at most once.
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

/** Whether a key of this time is refused by every member, whatever its clock within the allowed skew. */
export function isExpired(idTimeMs: number, nowMs: number, options: ClaimWindowOptions): boolean {
  return nowMs - idTimeMs > options.windowMs + 2 * options.clockSkewMs;
}
