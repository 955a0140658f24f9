/**
 * Stores submitted jobs and cancellations durably; jobs are batched into transactions.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as storeKeys from "./store_keys.ts";

/** A transaction holds at most 32 conditions and puts; each job needs one of each. */
const MAX_JOBS_PER_TRANSACTION = 16;

/**
 * The outcome of a submission. `stored`: durable, by this call or an earlier one. `refused`: not stored,
 * and not stored later by this call either. `unknown`: it may be stored already, or be stored later.
 */
export type StoreOutcome =
  | { readonly kind: "stored"; readonly revision: number }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** A job's state as the store has it. */
export type StoredJobState =
  | { readonly kind: "state"; readonly state: schema.scheduling.JobState }
  | { readonly kind: "missing" }
  | { readonly kind: "unreadable"; readonly reason: string };

/** Most store failures are over within this time. */
const RETRY_INTERVAL_MS = 150;

interface PendingJob {
  readonly job: schema.scheduling.Job;
  readonly deadlineAtMs: number;
  /** A write of the job got no response, so the job may be stored already or be stored later. */
  isUncertain: boolean;
  readonly resolve: (outcome: StoreOutcome) => void;
}

/** Writes jobs on condition that their keys don't exist, which makes submissions idempotent. */
export class JobStore {
  readonly #store: ports.scheduling.SchedulingStore;
  readonly #clock: ports.clock.Clock;
  readonly #isRefusal: (error: schema.errors.JackdawlinkError) => boolean;
  readonly #pending: PendingJob[] = [];
  #isWriting = false;
  #lastFailureAtMs = Number.NEGATIVE_INFINITY;

  constructor({ store, clock, isRefusal }: {
    readonly store: ports.scheduling.SchedulingStore;
    readonly clock: ports.clock.Clock;
    readonly isRefusal: (error: schema.errors.JackdawlinkError) => boolean;
  }) {
    this.#store = store;
    this.#clock = clock;
    this.#isRefusal = isRefusal;
  }

  /**
   * Stores a job. Jobs added while a transaction is in flight share the next one. A write that got no
   * response is repeated until the deadline, as only a response tells whether the job is stored.
   */
  add(job: schema.scheduling.Job, deadlineAtMs: number): Promise<StoreOutcome> {
    return new Promise((resolve) => {
      this.#pending.push({ job, deadlineAtMs, isUncertain: false, resolve });
      void this.#write();
    });
  }

  /** Whether the last write failed and the store has not answered any request since `lastAnswerAtMs`. */
  isUnavailable(lastAnswerAtMs: number): boolean {
    return this.#lastFailureAtMs > lastAnswerAtMs;
  }

  /** Stores a job's cancellation; true once it is durable. */
  async cancel(jobId: string): Promise<boolean> {
    const answer = await this.#store.transact({
      conditions: [],
      puts: [{ key: storeKeys.cancelKey(jobId), value: "{}" }],
      removes: [],
    });
    return answer.isOk() && answer.value.kind === "done";
  }

  /** Whether a job was ever accepted; undefined if the store cannot be read. */
  async has(jobId: string): Promise<boolean | undefined> {
    const item = await this.#store.get(storeKeys.jobKey(jobId));
    return item.isOk() ? item.value !== undefined : undefined;
  }

  /** Reads a job's state from the store, for when the owner is unreachable. */
  async state(jobId: string): Promise<StoredJobState> {
    const progress = await this.#store.get(storeKeys.progressKey(jobId));
    if (progress.isErr()) {
      return { kind: "unreadable", reason: progress.error.message };
    }
    if (progress.value !== undefined) {
      const decoded = schema.fleet.parseRecord(schema.scheduling.jobProgressSchema, progress.value);
      return decoded.match<StoredJobState>(
        ({ state }) => ({ kind: "state", state }),
        (error) => ({ kind: "unreadable", reason: error.message }),
      );
    }
    const job = await this.#store.get(storeKeys.jobKey(jobId));
    if (job.isErr()) {
      return { kind: "unreadable", reason: job.error.message };
    }
    return job.value === undefined ? { kind: "missing" } : { kind: "state", state: "queued" };
  }

  async #write(): Promise<void> {
    if (this.#isWriting) {
      return;
    }
    this.#isWriting = true;
    while (this.#pending.length > 0) {
      await this.#writeBatch(this.#pending.splice(0, MAX_JOBS_PER_TRANSACTION));
    }
    this.#isWriting = false;
  }

  async #writeBatch(batch: readonly PendingJob[]): Promise<void> {
    const answer = await this.#store.transact({
      conditions: batch.map(({ job }) => ({ key: storeKeys.jobKey(job.jobId), revision: 0 })),
      puts: batch.map(({ job }) => ({
        key: storeKeys.jobKey(job.jobId),
        value: JSON.stringify(job),
      })),
      removes: [],
    });
    if (answer.isErr()) {
      this.#lastFailureAtMs = this.#clock.nowMs();
      batch.forEach((pending) => this.#handleFailure(pending, answer.error));
      return;
    }
    this.#lastFailureAtMs = Number.NEGATIVE_INFINITY;
    if (answer.value.kind === "done") {
      const { revision } = answer.value;
      batch.forEach(({ resolve }) => resolve({ kind: "stored", revision }));
      return;
    }
    const storedRevisions = new Map(
      answer.value.kind === "conflict"
        ? answer.value.items.filter(({ revision }) => revision > 0)
          .map((item) => [item.key, item.revision])
        : [],
    );
    for (const pending of batch) {
      const revision = storedRevisions.get(storeKeys.jobKey(pending.job.jobId));
      if (revision === undefined) {
        this.#pending.unshift(pending);
      } else {
        pending.resolve({ kind: "stored", revision });
      }
    }
  }

  #handleFailure(pending: PendingJob, error: schema.errors.JackdawlinkError): void {
    const reason = error.message;
    if (!pending.isUncertain && this.#isRefusal(error)) {
      pending.resolve({ kind: "refused", reason });
      return;
    }
    pending.isUncertain = true;
    if (this.#clock.nowMs() + RETRY_INTERVAL_MS >= pending.deadlineAtMs) {
      pending.resolve({ kind: "unknown", reason });
      return;
    }
    this.#clock.after(RETRY_INTERVAL_MS, () => {
      this.#pending.push(pending);
      void this.#write();
    });
  }
}
