/**
 * The durable side of submissions: jobs and cancellations, grouped into transactions.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as storeKeys from "./store_keys.ts";

/** A transaction takes 32 entries; each job needs a condition and a put. */
const MAX_JOBS_PER_TRANSACTION = 16;

/**
 * `stored`: durable, by this call or an earlier one. `refused`: certainly not stored, and never will be by
 * this call. `unknown`: it may be stored, or still come to be.
 */
export type StoreOutcome =
  | { readonly kind: "stored"; readonly revision: number }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** What the store knows of a job. */
export type StoredJobState =
  | { readonly kind: "state"; readonly state: schema.scheduling.JobState }
  | { readonly kind: "missing" }
  | { readonly kind: "unreadable"; readonly reason: string };

/** The store answers again soon after most failures. */
const RETRY_INTERVAL_MS = 150;

interface PendingJob {
  readonly job: schema.scheduling.Job;
  readonly deadlineAtMs: number;
  /** A write of the job had no answer, so that it may be stored or come to be. */
  isUncertain: boolean;
  readonly settle: (outcome: StoreOutcome) => void;
}

/** Writes jobs under the condition that they don't exist, so that a repeated submission stays one job. */
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
   * Jobs that come while a transaction is on its way go together in the next one. A write without an answer
   * is repeated until the deadline, as only then it is known whether the job is stored.
   */
  add(job: schema.scheduling.Job, deadlineAtMs: number): Promise<StoreOutcome> {
    return new Promise((settle) => {
      this.#pending.push({ job, deadlineAtMs, isUncertain: false, settle });
      void this.#write();
    });
  }

  /** Whether the last write failed, and the store has not answered any call since. */
  isUnavailable(lastAnswerAtMs: number): boolean {
    return this.#lastFailureAtMs > lastAnswerAtMs;
  }

  /** Marks a job as cancelled; true once that is durable. */
  async cancel(jobId: string): Promise<boolean> {
    const answer = await this.#store.transact({
      conditions: [],
      puts: [{ key: storeKeys.cancelKey(jobId), value: "{}" }],
      removes: [],
    });
    return answer.isOk() && answer.value.kind === "done";
  }

  /** Whether a job was ever accepted. */
  async has(jobId: string): Promise<boolean | undefined> {
    const item = await this.#store.get(storeKeys.jobKey(jobId));
    return item.isOk() ? item.value !== undefined : undefined;
  }

  /** A job's state from the store alone, for when the owner can't be asked. */
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
      await this.#writeGroup(this.#pending.splice(0, MAX_JOBS_PER_TRANSACTION));
    }
    this.#isWriting = false;
  }

  async #writeGroup(group: readonly PendingJob[]): Promise<void> {
    const answer = await this.#store.transact({
      conditions: group.map(({ job }) => ({ key: storeKeys.jobKey(job.jobId), revision: 0 })),
      puts: group.map(({ job }) => ({
        key: storeKeys.jobKey(job.jobId),
        value: JSON.stringify(job),
      })),
      removes: [],
    });
    if (answer.isErr()) {
      this.#lastFailureAtMs = this.#clock.nowMs();
      group.forEach((pending) => this.#handleFailure(pending, answer.error));
      return;
    }
    this.#lastFailureAtMs = Number.NEGATIVE_INFINITY;
    if (answer.value.kind === "done") {
      const { revision } = answer.value;
      group.forEach(({ settle }) => settle({ kind: "stored", revision }));
      return;
    }
    const present = new Map(
      answer.value.kind === "conflict"
        ? answer.value.items.filter(({ revision }) => revision > 0)
          .map((item) => [item.key, item.revision])
        : [],
    );
    for (const pending of group) {
      const revision = present.get(storeKeys.jobKey(pending.job.jobId));
      if (revision === undefined) {
        this.#pending.unshift(pending);
      } else {
        pending.settle({ kind: "stored", revision });
      }
    }
  }

  #handleFailure(pending: PendingJob, error: schema.errors.JackdawlinkError): void {
    const reason = error.message;
    if (!pending.isUncertain && this.#isRefusal(error)) {
      pending.settle({ kind: "refused", reason });
      return;
    }
    pending.isUncertain = true;
    if (this.#clock.nowMs() + RETRY_INTERVAL_MS >= pending.deadlineAtMs) {
      pending.settle({ kind: "unknown", reason });
      return;
    }
    this.#clock.after(RETRY_INTERVAL_MS, () => {
      this.#pending.push(pending);
      void this.#write();
    });
  }
}
