/**
 * Stores the progress of jobs in batches, on condition that this process is still the owner.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { pause, WakeSignal } from "./pause.ts";
import * as storeKeys from "./store_keys.ts";
import type { TermStatistics } from "./term_statistics.ts";

type JobRecord = policy.scheduling.jobRecord.JobRecord;

/** A transaction holds at most 32 conditions and puts, of which the journal itself needs three. */
const MAX_PUTS_PER_TRANSACTION = 29;
/** Changes within this time share a transaction. */
const BATCH_WINDOW_MS = 8;
const RETRY_INTERVAL_MS = 150;

export interface JournalOptions {
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly statistics: TermStatistics;
  readonly fencingToken: number;
  /**
   * Called before a write: captures the task ends processed so far, and returns a function that marks them
   * as stored.
   */
  readonly snapshotEnds: () => () => void;
  readonly onConflict: () => void;
}

/** Task ends that are confirmed as stored once `jobsAhead` more of the waiting jobs are stored. */
interface PendingConfirmation {
  jobsAhead: number;
  readonly confirm: () => void;
}

/**
 * Writes job progress, one transaction at a time; changes during a write go into the next transaction. Jobs
 * are stored in the order in which they changed, so task ends wait only for jobs that changed before them,
 * not for later changes.
 */
export class Journal {
  readonly #options: JournalOptions;
  readonly #wakeUp = new WakeSignal();
  #isStopped = false;
  /**
   * The revision of the journal's own item, which changes with each write. A write that got no response may
   * be carried out seconds later; the condition on this revision keeps it from overwriting newer progress.
   */
  #lastRevision = 0;
  #lastFlush: Promise<boolean> = Promise.resolve(true);
  /** Ordered by `jobsAhead`. */
  #pendingConfirmations: PendingConfirmation[] = [];

  constructor(options: JournalOptions) {
    this.#options = options;
  }

  wake(): void {
    this.#wakeUp.wake();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wakeUp.wake();
  }

  /** Writes changes whenever it is woken, until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wakeUp.wait();
      await pause(BATCH_WINDOW_MS);
      do {
        if (!await this.flush()) {
          await pause(RETRY_INTERVAL_MS);
        }
      } while (!this.#isStopped && this.#options.scheduler.dirtyJobCount > 0);
    }
  }

  /** Stores all changes made so far, after the write in progress; false if a write failed. */
  flush(): Promise<boolean> {
    this.#lastFlush = this.#lastFlush.then(() => this.#flush());
    return this.#lastFlush;
  }

  async #flush(): Promise<boolean> {
    const { scheduler, snapshotEnds } = this.#options;
    let jobsLeft = scheduler.dirtyJobCount;
    do {
      this.#pendingConfirmations.push({
        jobsAhead: scheduler.dirtyJobCount,
        confirm: snapshotEnds(),
      });
      const jobs = scheduler.takeDirtyJobs(
        MAX_PUTS_PER_TRANSACTION,
        (job) => scheduler.canRetire(job) ? 2 : 1,
      );
      if (jobs.length > 0 && !await this.#write(jobs)) {
        jobs.forEach((job) => scheduler.markDirty(job));
        this.#pendingConfirmations = [];
        return false;
      }
      this.#confirm(jobs.length);
      jobsLeft -= jobs.length;
    } while (jobsLeft > 0 && !this.#isStopped);
    return true;
  }

  #confirm(storedCount: number): void {
    this.#pendingConfirmations.forEach((confirmation) => confirmation.jobsAhead -= storedCount);
    while (this.#pendingConfirmations.length > 0 && this.#pendingConfirmations[0]!.jobsAhead <= 0) {
      this.#pendingConfirmations.shift()!.confirm();
    }
  }

  async #write(jobs: readonly JobRecord[]): Promise<boolean> {
    const { scheduler, store, clock, log, statistics, fencingToken } = this.#options;
    const startedAtMs = clock.nowMs();
    const written = jobs.map((job) => ({
      job,
      state: job.state,
      isFinal: scheduler.canRetire(job),
      markCrashesStored: job.snapshotCrashes(),
    }));
    const answer = await store.transact({
      conditions: [
        { key: storeKeys.OWNER_KEY, revision: fencingToken },
        { key: storeKeys.JOURNAL_KEY, revision: this.#lastRevision },
      ],
      puts: [
        { key: storeKeys.JOURNAL_KEY, value: String(fencingToken) },
        ...written.flatMap(({ job, isFinal }) =>
          isFinal ? finalItemsOf(job) : [progressItemOf(job)]
        ),
      ],
      removes: [],
    });
    const tookMs = Math.round(clock.nowMs() - startedAtMs);
    statistics.recordJournalWrite(tookMs);
    if (answer.isErr()) {
      const reason = answer.error.message;
      log.info("Could not store job progress", { jobs: jobs.length, tookMs, reason });
      return false;
    }
    if (answer.value.kind !== "done") {
      this.#handleConflict(answer.value);
      return false;
    }
    this.#lastRevision = answer.value.revision;
    for (const { job, state, isFinal, markCrashesStored } of written) {
      job.storedState = state;
      markCrashesStored();
      if (isFinal) {
        scheduler.retireJob(job.job.jobId, state);
      }
    }
    return true;
  }

  /**
   * Ends the term if the owner record has changed. Otherwise an earlier write that got no response was
   * carried out after all, and its revision of the journal item is adopted.
   */
  #handleConflict(answer: ports.scheduling.TransactionAnswer): void {
    const { fencingToken, onConflict } = this.#options;
    const items = answer.kind === "conflict" ? answer.items : [];
    const owner = items.find(({ key }) => key === storeKeys.OWNER_KEY);
    const journal = items.find(({ key }) => key === storeKeys.JOURNAL_KEY);
    if (owner !== undefined && owner.revision !== fencingToken) {
      onConflict();
    }
    this.#lastRevision = journal?.revision ?? 0;
  }
}

function progressItemOf(job: JobRecord): ports.scheduling.StorePut {
  return { key: storeKeys.progressKey(job.job.jobId), value: JSON.stringify(job.progress()) };
}

/** Replaces a finished job's description and progress by small items, so that a new owner has less to read. */
function finalItemsOf(job: JobRecord): ports.scheduling.StorePut[] {
  const { jobId } = job.job;
  const retired: schema.scheduling.RetiredJob = { finalState: job.state };
  return [
    { key: storeKeys.jobKey(jobId), value: JSON.stringify(retired) },
    { key: storeKeys.progressKey(jobId), value: JSON.stringify(job.finalProgress()) },
  ];
}
