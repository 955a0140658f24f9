/**
 * Keeps one session with each worker that is registered in the store and whose process may be running.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { guard } from "./guard.ts";
import type { WorkerSession } from "./worker_session.ts";

type WorkerRecord = policy.scheduling.workerRecord.WorkerRecord;

/** A worker's entry that is still missing this long after the store has come back has been removed. */
const SESSION_CLOSE_DELAY_MS = 2_500;

export interface WorkerSessionsOptions {
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly documents: ports.scheduling.Documents;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly createSession: (worker: WorkerRecord) => WorkerSession;
  /** Called when something has changed that scheduling decisions depend on. */
  readonly onChange: () => void;
}

/** A worker's entry in the store; `value` is undefined if it has been removed. */
export interface WorkerEntry {
  readonly key: string;
  readonly value: string | undefined;
  /** The store revision of the entry's last change; heartbeats change it too. */
  readonly revision: number;
}

const { HEARTBEAT_MS, isCapacityValid } = policy.scheduling.workerRecord;

/** Opens, finds and closes sessions as workers register, leave and end. */
export class WorkerSessions {
  readonly #options: WorkerSessionsOptions;
  readonly #sessions = new Map<string, WorkerSession>();
  /** The revision of each worker's entry that was applied last. */
  readonly #appliedRevisions = new Map<string, number>();
  /** The entries that name no worker, which are logged when their fault changes rather than at each read. */
  readonly #refusedEntries = new Map<
    string,
    { readonly revision: number; readonly reason: string }
  >();
  /** When each worker wrote its entry at the earliest, on the clock's upper reading. */
  readonly #writtenAtMs = new Map<string, number>();
  /** When each worker's entry was removed from the store. */
  readonly #unlistedSinceMs = new Map<string, number>();

  constructor(options: WorkerSessionsOptions) {
    this.#options = options;
  }

  get(workerId: string): WorkerSession | undefined {
    return this.#sessions.get(workerId);
  }

  /**
   * Applies a complete list of entries, which was requested at `askedAtMs` on the clock's upper reading;
   * workers that it lacks are no longer registered.
   */
  applyList(entries: readonly WorkerEntry[], askedAtMs: number): void {
    const listed = new Set(entries.map(({ key }) => this.#workerIdOf(key)));
    for (const workerId of this.#options.scheduler.workers.keys()) {
      if (!listed.has(workerId)) {
        this.#applyRemoval(workerId);
      }
    }
    for (const workerId of this.#refusedEntries.keys()) {
      if (!listed.has(workerId)) {
        this.#refusedEntries.delete(workerId);
      }
    }
    this.applyListed(entries, askedAtMs);
  }

  /** Applies listed entries. A worker that reaches the store has written its entry within a heartbeat. */
  applyListed(entries: readonly WorkerEntry[], askedAtMs: number): void {
    entries.forEach((entry) => this.applyEntry(entry, askedAtMs - HEARTBEAT_MS));
  }

  /**
   * Applies an entry that was written at `writtenAtMs` or later, on the clock's upper reading. One that
   * cannot be handled is logged, and the others hold.
   */
  applyEntry(entry: WorkerEntry, writtenAtMs: number): void {
    guard(() => this.#applyEntry(entry, writtenAtMs), { log: this.#options.log, key: entry.key });
  }

  /** Whether a worker's entry is recent enough for its capacity to be relied on. */
  isCapacityConfirmed(workerId: string): boolean {
    const writtenAtMs = this.#writtenAtMs.get(workerId) ?? Number.NEGATIVE_INFINITY;
    return isCapacityValid(writtenAtMs, this.#options.clock.nowMs());
  }

  /** Updates which workers' capacities are confirmed, before a decision. */
  updateConfirmations(): void {
    const { scheduler, log } = this.#options;
    let unconfirmedCount = 0;
    let hasChanged = false;
    for (const [workerId, worker] of scheduler.workers) {
      const isConfirmed = this.isCapacityConfirmed(workerId);
      hasChanged ||= isConfirmed !== worker.isCapacityConfirmed;
      worker.isCapacityConfirmed = isConfirmed;
      unconfirmedCount += isConfirmed ? 0 : 1;
    }
    if (hasChanged) {
      log.info("Unconfirmed worker capacities changed", {
        unconfirmed: unconfirmedCount,
        workers: scheduler.workers.size,
      });
    }
  }

  /**
   * Closes the sessions of workers that have ended, and of those that the scheduler has removed and that are
   * no longer listed.
   */
  closeRemoved(nowMs: number): void {
    for (const [workerId, session] of this.#sessions) {
      const isRemoved = this.#options.scheduler.workers.get(workerId) !== session.worker;
      const sinceMs = this.#unlistedSinceMs.get(workerId) ?? nowMs;
      if (session.worker.hasEnded || (isRemoved && nowMs - sinceMs >= SESSION_CLOSE_DELAY_MS)) {
        session.stop();
        this.#sessions.delete(workerId);
        this.#appliedRevisions.delete(workerId);
        this.#writtenAtMs.delete(workerId);
        this.#unlistedSinceMs.delete(workerId);
      }
    }
  }

  /** Captures the task ends processed so far; the returned function marks them as stored. */
  snapshotEnds(): () => void {
    const ends = [...this.#sessions.values()].map((session) =>
      [session, session.worker.ends.processed] as const
    );
    return () => ends.forEach(([session, end]) => session.markEndsStored(end));
  }

  /**
   * Opens a session with an incarnation that has answered in place of the registered one. The capacity in the
   * registration may not be its own.
   */
  openSuccessor(worker: WorkerRecord): void {
    const { workerId, startedUnixMs } = worker.info;
    this.#options.log.info("Worker restarted", { worker: workerId, startedUnixMs });
    this.#writtenAtMs.delete(workerId);
    this.#open(worker);
  }

  stop(): void {
    this.#sessions.forEach((session) => session.stop());
  }

  #workerIdOf(key: string): string {
    return key.slice(this.#options.documents.workerPrefix.length);
  }

  #applyEntry({ key, value, revision }: WorkerEntry, writtenAtMs: number): void {
    const workerId = this.#workerIdOf(key);
    if (value === undefined) {
      this.#refusedEntries.delete(workerId);
      this.#applyRemoval(workerId);
      return;
    }
    const isKnown = this.#isApplied(workerId, revision) ||
      this.#refusedEntries.get(workerId)?.revision === revision;
    if (isKnown) {
      return;
    }
    const info = this.#options.documents.decodeWorker(key, value);
    if (info.isErr()) {
      this.#recordRefusal(workerId, { revision, reason: info.error.message });
      return;
    }
    this.#refusedEntries.delete(workerId);
    const isNew = this.#appliedRevisions.get(workerId) !== revision;
    if (this.#applyRegistration(info.value) && isNew) {
      this.#writtenAtMs.set(workerId, writtenAtMs);
    }
    this.#appliedRevisions.set(workerId, revision);
  }

  /** Whether this revision of an entry has been applied to the worker's current record. */
  #isApplied(workerId: string, revision: number): boolean {
    const worker = this.#options.scheduler.workers.get(workerId);
    return worker !== undefined && worker.isListed &&
      worker === this.#sessions.get(workerId)?.worker &&
      this.#appliedRevisions.get(workerId) === revision;
  }

  #applyRemoval(workerId: string): void {
    const { scheduler, clock, log, onChange } = this.#options;
    const worker = scheduler.workers.get(workerId);
    const wasListed = worker?.isListed ?? false;
    scheduler.recordWorkerUnlisted(workerId);
    if (worker !== undefined && wasListed) {
      this.#unlistedSinceMs.set(workerId, clock.steadyMs());
      log.info("Worker entry removed", { worker: workerId, runs: worker.runs.size });
      onChange();
    }
  }

  #recordRefusal(
    workerId: string,
    refused: { readonly revision: number; readonly reason: string },
  ): void {
    if (this.#refusedEntries.get(workerId)?.reason !== refused.reason) {
      this.#options.log.info("Could not decode a worker entry", {
        worker: workerId,
        reason: refused.reason,
      });
    }
    this.#refusedEntries.set(workerId, refused);
  }

  /** Applies a registration; false if it is that of an incarnation that is over. */
  #applyRegistration(info: schema.scheduling.WorkerInfo): boolean {
    const { scheduler, clock, log, onChange } = this.#options;
    const { workerId } = info;
    this.#unlistedSinceMs.delete(workerId);
    const previous = scheduler.workers.get(workerId);
    const wasDraining = previous?.info.isDraining ?? false;
    const wasListed = previous?.isListed ?? false;
    const totalBefore = previous?.info.total;
    const worker = scheduler.putWorker(info, clock.steadyMs());
    if (worker === undefined) {
      return false;
    }
    if (worker !== previous) {
      log.info("Worker added", {
        worker: workerId,
        vm: info.vm,
        pool: info.pool,
        startedUnixMs: info.startedUnixMs,
      });
    }
    if (info.isDraining && !wasDraining) {
      log.info("Worker is draining", { worker: workerId, runs: worker.runs.size });
    }
    const { total } = info;
    const hasNewTotal = worker === previous && totalBefore !== undefined &&
      !policy.scheduling.resources.isEqual(totalBefore, total);
    if (hasNewTotal) {
      log.info("Worker capacity changed", {
        worker: workerId,
        beforeMillicores: totalBefore.cpuMillicores,
        beforeMb: totalBefore.memoryMb,
        beforeGpus: totalBefore.gpuCount,
        afterMillicores: total.cpuMillicores,
        afterMb: total.memoryMb,
        afterGpus: total.gpuCount,
        usedMillicores: worker.used.cpuMillicores,
        usedMb: worker.used.memoryMb,
        usedGpus: worker.used.gpuCount,
      });
    }
    this.#open(worker);
    // A heartbeat alone changes nothing that decisions depend on.
    if (worker !== previous || !wasListed || info.isDraining !== wasDraining || hasNewTotal) {
      onChange();
    }
    return true;
  }

  #open(worker: WorkerRecord): void {
    const { workerId } = worker.info;
    const existing = this.#sessions.get(workerId);
    if (existing?.worker === worker) {
      existing.retryNow();
      return;
    }
    existing?.stop();
    const session = this.#options.createSession(worker);
    this.#sessions.set(workerId, session);
    void session.run();
  }
}
