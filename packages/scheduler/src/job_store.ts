/**
 * The durable side of submissions: jobs and cancellations, grouped into transactions.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { decodeRecord } from "./records.ts";
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
export type StoredState =
  | { readonly kind: "state"; readonly state: schema.scheduling.JobState }
  | { readonly kind: "missing" }
  | { readonly kind: "unreadable"; readonly reason: string };

interface PendingJob {
  readonly job: schema.scheduling.Job;
  readonly settle: (outcome: StoreOutcome) => void;
}

/** Writes jobs under the condition that they don't exist, so that a repeated submission stays one job. */
export class JobStore {
  readonly #store: ports.scheduling.SchedulingStore;
  readonly #isRefusal: (error: schema.errors.JackdawlinkError) => boolean;
  readonly #pending: PendingJob[] = [];
  #isWriting = false;

  constructor(
    store: ports.scheduling.SchedulingStore,
    isRefusal: (error: schema.errors.JackdawlinkError) => boolean,
  ) {
    this.#store = store;
    this.#isRefusal = isRefusal;
  }

  /** Jobs that come while a transaction is on its way go together in the next one. */
  add(job: schema.scheduling.Job): Promise<StoreOutcome> {
    return new Promise((settle) => {
      this.#pending.push({ job, settle });
      void this.#write();
    });
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
  async state(jobId: string): Promise<StoredState> {
    const progress = await this.#store.get(storeKeys.progressKey(jobId));
    if (progress.isErr()) {
      return { kind: "unreadable", reason: progress.error.message };
    }
    if (progress.value !== undefined) {
      const decoded = decodeRecord(schema.scheduling.jobProgressSchema, progress.value.value);
      return decoded.match<StoredState>(
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
      const kind = this.#isRefusal(answer.error) ? "refused" : "unknown";
      group.forEach(({ settle }) => settle({ kind, reason: answer.error.message }));
      return;
    }
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
}
