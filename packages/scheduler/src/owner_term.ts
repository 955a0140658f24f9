/**
 * The work of an elected owner during one term: loads the stored jobs and workers, follows their changes
 * in the store, runs the scheduler's decisions and sends the resulting orders to workers and VMs.
 *
 * The scheduler mostly waits for what others may still do, so its time is the steady reading of the clock.
 * Only the proofs of the ownership, which are this owner's right, use the upper reading.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { guard } from "./guard.ts";
import { Journal } from "./journal.ts";
import type { NodeMetrics } from "./metrics.ts";
import type { TermStart } from "./ownership.ts";
import { pause } from "./pause.ts";
import { type FollowerHandlers, PrefixFollower } from "./prefix_follower.ts";
import * as storeKeys from "./store_keys.ts";
import { TermStatistics } from "./term_statistics.ts";
import { VmManager } from "./vm_manager.ts";
import { WorkerSession } from "./worker_session.ts";
import { WorkerSessions } from "./worker_sessions.ts";

type Scheduler = policy.scheduling.scheduler.Scheduler;
type Order = policy.scheduling.scheduler.Order;

const RETRY_INTERVAL_MS = 200;
/** Drives time-based work, such as lease expiry; events schedule a decision at once. */
const TICK_INTERVAL_MS = 100;
/**
 * All worker leases granted by a previous owner have expired this long after a takeover: its last ownership
 * proof, one lease on a worker clock that may be 2% slow, and a margin for delayed responses.
 */
const PREVIOUS_LEASES_END_MS = policy.scheduling.ownershipProof.PROOF_VALIDITY_MS +
  policy.scheduling.workerRecord.WORKER_LEASE_MS * 1.02 + 700;

/**
 * Workers renew their registrations within two heartbeats of an outage of the store. A takeover that is
 * sooner waits for each worker's next heartbeat before it relies on the worker's capacity.
 */
const MIN_SERVED_BEFORE_LIST_MS = 2 * policy.scheduling.workerRecord.HEARTBEAT_MS;

export interface OwnerTermOptions {
  readonly start: TermStart;
  readonly node: string;
  readonly store: ports.scheduling.SchedulingStore;
  readonly documents: ports.scheduling.Documents;
  readonly workers: ports.scheduling.WorkerClient;
  readonly vms: ports.scheduling.VmClient;
  readonly advice: ports.scheduling.AdviceClient | undefined;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly metrics: NodeMetrics;
  readonly config: schema.scheduling.SchedulingConfig;
  /** Called when the store, a worker or a VM shows that another owner has taken over. */
  readonly onFenced: (reason: string) => void;
}

/** Schedules jobs for one term, until `stop` is called. */
export class OwnerTerm {
  readonly scheduler: Scheduler;
  readonly ownershipProof = new policy.scheduling.ownershipProof.OwnershipProof();
  readonly #options: OwnerTermOptions;
  readonly #statistics: TermStatistics;
  readonly #journal: Journal;
  readonly #sessions: WorkerSessions;
  readonly #vmManager: VmManager;
  readonly #followers: PrefixFollower[] = [];
  readonly #startedAtMs: number;
  /** The ids of jobs whose cancellation has been received; each is received more than once. */
  readonly #cancelledJobIds = new Set<string>();
  #isLoaded = false;
  #isStopped = false;
  #isDecisionDue = false;
  #nextDecisionAtMs = 0;

  constructor(options: OwnerTermOptions) {
    this.#options = options;
    const { start, clock, store, log } = options;
    this.#startedAtMs = clock.steadyMs();
    this.scheduler = new policy.scheduling.scheduler.Scheduler({
      term: start.term,
      takeover: {
        revision: start.fencingToken,
        atMs: this.#startedAtMs,
        staleOwnerMs: start.hasPreviousOwnerStopped
          ? 0
          : policy.scheduling.ownershipProof.PROOF_VALIDITY_MS,
      },
      log,
    });
    this.scheduler.setConfig(options.config);
    this.ownershipProof.recordStoreProof(start.provenAtMs);
    this.#statistics = new TermStatistics({
      scheduler: this.scheduler,
      clock,
      log,
      metrics: options.metrics,
    });
    this.#sessions = new WorkerSessions({
      scheduler: this.scheduler,
      documents: options.documents,
      clock,
      log,
      createSession: (worker) => this.#createSession(worker),
      onChange: () => this.#scheduleDecision(),
    });
    this.#journal = new Journal({
      scheduler: this.scheduler,
      store,
      clock,
      log,
      statistics: this.#statistics,
      fencingToken: start.fencingToken,
      snapshotEnds: () => this.#sessions.snapshotEnds(),
      onConflict: () => options.onFenced("the owner record has changed"),
    });
    this.#vmManager = new VmManager({
      scheduler: this.scheduler,
      vms: options.vms,
      store,
      documents: options.documents,
      clock,
      log,
      holder: { node: options.node, fencingToken: start.fencingToken },
      startedAtMs: this.#startedAtMs,
      hadPreviousOwner: start.hadPreviousOwner,
      // A worker's proof covers only orders to that worker, so VM orders need proof from the store.
      canIssueOrders: () =>
        this.#canIssueOrders() && this.ownershipProof.isStoreProofValid(clock.nowMs()),
      onFenced: () => options.onFenced("a VM has seen a higher fencing token"),
      onChange: () => this.#scheduleDecision(),
    });
  }

  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  setConfig(config: schema.scheduling.SchedulingConfig): void {
    this.scheduler.setConfig(config);
    this.#vmManager.setConfig(config);
    this.#scheduleDecision();
  }

  /** Adds a job that an entry has just stored. */
  putJob(job: schema.scheduling.Job, acceptedRevision: number): void {
    if (this.#isLoaded && !this.#isStopped) {
      this.scheduler.putJob(job, { acceptedRevision, seenAtMs: this.#options.clock.steadyMs() });
      this.#scheduleDecision();
    }
  }

  /** Applies a stored cancellation that an entry reports, also to a job that is not loaded yet. */
  cancelJob(jobId: string): void {
    this.#cancelJob(jobId, "entry");
  }

  #cancelJob(jobId: string, source: "entry" | "store"): void {
    const isNew = !this.#cancelledJobIds.has(jobId);
    this.#cancelledJobIds.add(jobId);
    // A takeover lists all cancellations of the past before the jobs.
    if (isNew && this.#isLoaded) {
      this.#options.log.info("Cancellation received", {
        job: jobId,
        source,
        isKnown: this.scheduler.knowsJob(jobId),
      });
    }
    this.scheduler.cancelJob(jobId);
    this.#scheduleDecision();
  }

  async run(): Promise<void> {
    while (!this.#isStopped && !await this.#load()) {
      await pause(RETRY_INTERVAL_MS);
    }
    while (!this.#isStopped) {
      this.#scheduleDecision();
      this.#statistics.tick();
      await pause(TICK_INTERVAL_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.ownershipProof.invalidate();
    this.#journal.stop();
    this.#statistics.stop();
    this.#vmManager.stop();
    this.#followers.forEach((follower) => follower.stop());
    this.#sessions.stop();
  }

  /** Stores pending job progress, before the ownership is released. */
  async flush(): Promise<void> {
    await this.#journal.flush();
  }

  #canIssueOrders(): boolean {
    return !this.#isStopped && this.#isLoaded &&
      this.ownershipProof.isValid(this.#options.clock.nowMs(), this.scheduler.workers.keys());
  }

  /** Loads jobs, their progress and workers from the store; false if it could not be read. */
  async #load(): Promise<boolean> {
    const { store, documents, start, log, config, clock } = this.#options;
    const askedAtMs = clock.nowMs();
    const [intake, progress, workers] = await Promise.all([
      store.list(storeKeys.INTAKE_PREFIX),
      store.list(storeKeys.PROGRESS_PREFIX),
      store.list(documents.workerPrefix),
    ]);
    if (intake.isErr() || progress.isErr() || workers.isErr()) {
      const error = [intake, progress, workers].find((read) => read.isErr())?._unsafeUnwrapErr();
      log.info("Takeover could not read the store", { reason: error?.message });
      return false;
    }
    if (this.#isStopped) {
      return true;
    }
    const progressItems = new Map(progress.value.items.map((item) => [item.key, item.value]));
    this.#applyIntake(intake.value.items, progressItems);
    this.#sessions.applyListed(
      workers.value.items,
      start.storeServedForMs >= MIN_SERVED_BEFORE_LIST_MS ? askedAtMs : Number.NEGATIVE_INFINITY,
    );
    this.#isLoaded = true;
    if (!start.hadPreviousOwner) {
      this.scheduler.settle(clock.steadyMs(), "there was no previous owner");
    }
    void this.#journal.run();
    this.#follow(storeKeys.INTAKE_PREFIX, intake.value.asOfRevision, {
      onList: (items) => this.#applyIntake(items, new Map()),
      onChange: (change) =>
        this.#applyIntakeItem({ ...change, createdRevision: change.revision }, new Map()),
      mayBeIncomplete: () => false,
    });
    this.#follow(documents.workerPrefix, workers.value.asOfRevision, {
      onList: (items, askedAtMs) => this.#sessions.applyList(items, askedAtMs),
      onChange: (change, askedAtMs) => this.#sessions.applyEntry(change, askedAtMs),
      mayBeIncomplete: () => this.scheduler.hasUnknownWorkers,
    });
    void this.#vmManager.run(config);
    log.info("Takeover loaded the stored state", {
      token: start.fencingToken,
      term: start.term,
      jobs: this.scheduler.jobs.size,
      active: this.scheduler.activeJobs.size,
      workers: this.scheduler.workers.size,
      tookMs: Math.round(clock.steadyMs() - this.#startedAtMs),
    });
    return true;
  }

  /**
   * Ends the takeover phase once all leases of previous owners have expired, even if some workers have not
   * reported. Those that answer are waited for until they have listed all their ends.
   */
  #settleAfterLeases(nowMs: number): void {
    const haveLeasesExpired = nowMs - this.#startedAtMs > PREVIOUS_LEASES_END_MS;
    if (!this.scheduler.isSettled && haveLeasesExpired && !this.scheduler.hasUnlistedEnds(nowMs)) {
      this.scheduler.settle(nowMs, "all leases of previous owners have expired");
    }
  }

  #applyIntake(
    items: readonly ports.scheduling.StoreItem[],
    progress: ReadonlyMap<string, string>,
  ): void {
    const { log } = this.#options;
    items.forEach((item) =>
      guard(() => this.#applyIntakeItem(item, progress), { log, key: item.key })
    );
  }

  #applyIntakeItem(
    item: { key: string; value: string | undefined; createdRevision: number },
    progress: ReadonlyMap<string, string>,
  ): void {
    const intake = storeKeys.parseIntakeKey(item.key);
    if (intake === undefined || item.value === undefined) {
      return;
    }
    if (intake.kind === "cancel") {
      this.#cancelJob(intake.jobId, "store");
      return;
    }
    this.#addStoredJob(intake.jobId, {
      item: { key: item.key, value: item.value },
      acceptedRevision: item.createdRevision,
      progressText: progress.get(storeKeys.progressKey(intake.jobId)),
    });
  }

  #addStoredJob(jobId: string, { item, acceptedRevision, progressText }: {
    readonly item: { readonly key: string; readonly value: string };
    readonly acceptedRevision: number;
    readonly progressText: string | undefined;
  }): void {
    const { clock } = this.#options;
    if (this.scheduler.knowsJob(jobId)) {
      return;
    }
    const stored = schema.fleet.parseRecord(schema.scheduling.storedJobSchema, item);
    if (stored.isErr()) {
      return this.#logUnreadable(stored.error, acceptedRevision);
    }
    const job = stored.value;
    if ("finalState" in job) {
      this.scheduler.retireJob(jobId, job.finalState);
      return;
    }
    const progress = progressText === undefined ? undefined : schema.fleet.parseRecord(
      schema.scheduling.jobProgressSchema,
      { key: storeKeys.progressKey(jobId), value: progressText },
    );
    if (progress?.isErr()) {
      return this.#logUnreadable(progress.error, acceptedRevision);
    }
    const nowMs = clock.steadyMs();
    const ageMs = this.#isLoaded ? 0 : Math.max(0, clock.wallMs() - job.acceptedUnixMs);
    this.scheduler.putJob(job, {
      acceptedRevision,
      seenAtMs: nowMs - ageMs,
      progress: progress?.isOk() ? progress.value : undefined,
    });
    this.#scheduleDecision();
  }

  #logUnreadable(error: Error, acceptedRevision: number): void {
    this.#options.log.error("Could not decode a stored job", {
      revision: acceptedRevision,
      reason: error.message,
    });
  }

  #createSession(worker: policy.scheduling.workerRecord.WorkerRecord): WorkerSession {
    const { workers, clock, log, start, onFenced } = this.#options;
    return new WorkerSession({
      worker,
      scheduler: this.scheduler,
      client: workers,
      clock,
      log,
      statistics: this.#statistics,
      fencingToken: start.fencingToken,
      canIssueOrders: () => this.#canIssueOrders(),
      isCapacityConfirmed: () => this.#sessions.isCapacityConfirmed(worker.info.workerId),
      needsWorkerProof: () =>
        !this.ownershipProof.isStoreProofValid(clock.nowMs() + RETRY_INTERVAL_MS),
      onWorkerProof: (id, askedAtMs) => this.ownershipProof.recordWorkerProof(id, askedAtMs),
      onReplaced: (successor) => this.#sessions.openSuccessor(successor),
      onChange: () => this.#scheduleDecision(),
      onFenced: () => onFenced(`worker ${worker.info.workerId} has seen a higher fencing token`),
    });
  }

  /**
   * Schedules one decision for all events that arrive until it runs. After a decision, the event loop gets
   * at least as much time for I/O as the decision took, within bounds: on a slow VM, back-to-back decisions
   * during a burst would delay responses and requests.
   */
  #scheduleDecision(): void {
    if (this.#isDecisionDue) {
      return;
    }
    this.#isDecisionDue = true;
    const decide = () => {
      this.#isDecisionDue = false;
      const startedAtMs = this.#options.clock.steadyMs();
      this.#decide();
      const endedAtMs = this.#options.clock.steadyMs();
      this.#statistics.recordDecision(endedAtMs - startedAtMs);
      this.#nextDecisionAtMs = endedAtMs +
        policy.scheduling.decisionPacing.gapAfterMs(endedAtMs - startedAtMs);
    };
    const waitMs = this.#nextDecisionAtMs - this.#options.clock.steadyMs();
    if (waitMs > 0) {
      setTimeout(decide, waitMs);
    } else {
      setImmediate(decide);
    }
  }

  #decide(): void {
    if (this.#isStopped || !this.#isLoaded) {
      return;
    }
    const { clock } = this.#options;
    const nowMs = clock.steadyMs();
    this.#settleAfterLeases(nowMs);
    this.scheduler.expireLeases(nowMs);
    this.#sessions.closeRemoved(nowMs);
    this.#sessions.updateConfirmations();
    if (this.#canIssueOrders()) {
      const orders = this.scheduler.decide({ nowMs, wallMs: clock.wallMs() });
      orders.forEach((order) => this.#executeOrder(order));
    }
    this.#journal.wake();
  }

  readonly #orderHandlers: {
    readonly [Kind in Order["kind"]]: (order: Extract<Order, { kind: Kind }>) => void;
  } = {
    start: ({ run, ticket }) => {
      this.#logStart(run);
      void this.#sessions.get(run.workerId)?.start(run, ticket);
    },
    stop: ({ run, reason }) => void this.#sessions.get(run.workerId)?.stopRun(run, reason),
    "stop-stray": ({ workerId, task, runId }) =>
      void this.#sessions.get(workerId)?.stopStrayRun(task, runId),
    pace: ({ run, percent }) => void this.#sessions.get(run.workerId)?.pace(run, percent),
    advise: ({ step, workerIds }) => void this.#requestAdvice(step, workerIds),
  };

  #executeOrder(order: Order): void {
    const handler = this.#orderHandlers[order.kind] as (order: Order) => void;
    handler(order);
  }

  #logStart(run: policy.scheduling.jobRecord.Run): void {
    const worker = this.scheduler.workers.get(run.workerId);
    this.#options.log.info("Task placed", {
      job: run.step.job.job.jobId,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      freeMillicores: worker?.free.cpuMillicores,
      waitedMs: Math.round(run.orderedAtMs - run.step.job.seenAtMs),
    });
  }

  async #requestAdvice(
    step: policy.scheduling.jobRecord.StepRecord,
    workerIds: readonly string[],
  ): Promise<void> {
    const { advice, clock, log } = this.#options;
    const askedAtMs = clock.steadyMs();
    const answer = await advice?.ask(step.name, workerIds);
    if (answer?.isOk()) {
      const { tickets, validMs } = answer.value;
      log.info("Placement advice received", {
        step: step.name,
        asked: workerIds.length,
        granted: tickets.size,
      });
      this.scheduler.recordAdvice(step, tickets, askedAtMs + validMs);
    } else {
      log.info("Placement advice unavailable", {
        step: step.name,
        reason: answer?.isErr() ? answer.error.message : "no service",
      });
      await pause(RETRY_INTERVAL_MS);
      this.scheduler.recordAdviceFailure(step);
    }
    this.#scheduleDecision();
  }

  #follow(prefix: string, fromRevision: number, handlers: FollowerHandlers): void {
    const { store, clock, log } = this.#options;
    const follower = new PrefixFollower({ store, clock, log, prefix, handlers });
    this.#followers.push(follower);
    void follower.run(fromRevision);
  }
}
