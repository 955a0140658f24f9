/**
 * The scheduler's state machine for one term (one epoch of the elected owner). It tracks jobs,
 * workers and runs (attempts of tasks), and turns events and the current time into orders. It does
 * no I/O.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import {
  JobRecord,
  mayHaveReachedSuccessor,
  type Run,
  runKey,
  type StepRecord,
  type TaskRecord,
} from "./job_record.ts";
import * as stepOrder from "./step_order.ts";
import * as crashSuspicion from "./crash_suspicion.ts";
import { AdviceCache, type Tickets } from "./advice_cache.ts";
import { EndedIncarnations } from "./ended_incarnations.ts";
import { decidePaceChanges } from "./pacing.ts";
import { chooseReservation, chooseWorker, type EligibilityRequest } from "./placement.ts";
import * as resources from "./resources.ts";
import { aliveWorkerIds, MAX_MISSED_LISTS, TakeoverCensus } from "./takeover_census.ts";
import { parseTaskName } from "./task_names.ts";
import { groupByPool, type PoolWorkers } from "./pool_workers.ts";
import { WorkerRecord } from "./worker_record.ts";
import { boundUnseenUsage, unreportedCapacity } from "./unseen_usage.ts";
import { WorkspaceUsage } from "./workspace_usage.ts";

/** Run ids reserved per term, so that later terms use higher ids; no task starts this often. */
const RUN_IDS_PER_TERM = 1_000;
/** Weight of the newest task in the moving average of actual to estimated durations. */
const DURATION_RATIO_WEIGHT = 0.1;

/**
 * How long a stop that the previous owner ordered can still take effect. A stop takes up to 0.9 s
 * on the known sites, and none begins after this owner's first report request, which fences the
 * previous owner.
 */
const PREVIOUS_OWNER_STOP_MS = 2_000;

/** A move or the maintenance of a VM takes longer, so that it shows in lists this close together. */
const MAX_UNSEEN_VM_STATE_MS = 1_000;
/** The share of a pool's workers that suspects may have to themselves if they could start elsewhere. */
const MAX_ISOLATED_SHARE = 0.25;
/** How many workers a pool gets at a time for suspects that wait for one of their own. */
const MAX_WORKERS_FOR_SUSPECTS = 2;
const MAX_LOGGED_SUSPECTS = 8;
const NO_TASKS: ReadonlySet<TaskRecord> = new Set();

/** A command that the caller carries out against a worker or the advice service. */
export type Order =
  | { readonly kind: "start"; readonly run: Run; readonly ticket: string | undefined }
  | { readonly kind: "stop"; readonly run: Run; readonly reason: string }
  | {
    readonly kind: "stop-stray";
    readonly workerId: string;
    readonly task: string;
    readonly runId: number;
  }
  | { readonly kind: "pace"; readonly run: Run; readonly percent: number }
  | { readonly kind: "advise"; readonly step: StepRecord; readonly workerIds: readonly string[] };

/** The steady time and the wall-clock time (Unix time) of a decision. */
export interface DecisionTime {
  /** On the clock's steady reading, like all times of this module: a wait may be longer, never shorter. */
  readonly nowMs: number;
  readonly wallMs: number;
}

/**
 * The takeover that began this term. It decides which jobs may have runs that the previous owner
 * started and that no worker has reported yet.
 */
export interface Takeover {
  /** The store revision of the takeover; the previous owner rarely knew jobs accepted later. */
  readonly revision: number;
  readonly atMs: number;
  /** How long the previous owner may have kept giving orders before it noticed the takeover. */
  readonly staleOwnerMs: number;
}

/** The log of scheduling decisions. */
export interface DecisionLog {
  debug(message: string, fields: DecisionFields): void;
  info(message: string, fields: DecisionFields): void;
}

/** The inputs of a decision, as log fields; names carry units. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A task and what it belongs to. */
interface FoundTask {
  readonly job: JobRecord;
  readonly step: StepRecord;
  readonly task: TaskRecord;
}

export interface SchedulerOptions {
  readonly term: number;
  readonly takeover: Takeover;
  readonly log: DecisionLog;
}

/** Tracks the jobs, workers and runs of one term and decides on orders. */
export class Scheduler {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  readonly #options: SchedulerOptions;
  readonly #active = new Set<JobRecord>();
  /** The final states of finished jobs without runs; their specs are dropped. */
  readonly #retired = new Map<string, schema.scheduling.JobState>();
  /** The ids of jobs that were cancelled before they were added, if they ever are. */
  readonly #cancelledEarly = new Set<string>();
  readonly #dirty = new Set<JobRecord>();
  readonly #orders: Order[] = [];
  /** By long-running step that fits nowhere, the id of the worker reserved for it. */
  readonly #reservedWorkers = new WeakMap<StepRecord, string>();
  readonly #durationRatios = new Map<string, number>();
  readonly #workspaces = new WorkspaceUsage();
  readonly #advice = new AdviceCache();
  readonly #endedIncarnations = new EndedIncarnations();
  readonly #census: TakeoverCensus;
  readonly #crashSuspicion = new crashSuspicion.CrashSuspicion();
  /** By task that waits for a VM of its own, the id of the worker that is kept free for it. */
  readonly #isolationWorkers = new WeakMap<TaskRecord, string>();
  readonly #queues = new Map<string, schema.scheduling.Queue>();
  /** When the last list of VMs was requested. */
  #vmListAskedAtMs = Number.NEGATIVE_INFINITY;
  /** By id, the capacity of the workers that the last list of this term shows as running; undefined before. */
  #listedTotals: ReadonlyMap<string, schema.scheduling.Resources> | undefined;
  /** The workspaces that unseen runs have held back, so that each is logged once. */
  readonly #heldBackWorkspaces = new Set<string>();
  /** Crashes of workers, and jobs given up because a task caused them. */
  readonly crashCounts = { crashes: 0, givenUp: 0 };
  /**
   * True once every worker that may run tasks of a previous owner has reported, or its lease has
   * expired. Until then, tasks that may be running already are not placed.
   */
  isSettled = false;
  /** Whether the list of VMs names workers whose registrations have not been received. */
  hasUnknownWorkers = false;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { atMs, staleOwnerMs } = options.takeover;
    this.#census = new TakeoverCensus({ previousOwnerEndsAtMs: atMs + staleOwnerMs });
  }

  setConfig(config: schema.scheduling.SchedulingConfig): void {
    // A withdrawn queue is kept, since the jobs that it has accepted still run to their end.
    config.queues.forEach((queue) => this.#queues.set(queue.name, queue));
    this.#workspaces.setWorkspaces(config.workspaces);
  }

  queueOf(job: JobRecord): schema.scheduling.Queue | undefined {
    return this.#queues.get(job.job.queue);
  }

  get activeJobs(): ReadonlySet<JobRecord> {
    return this.#active;
  }

  /** Whether the job has been added, including retired jobs. */
  knowsJob(jobId: string): boolean {
    return this.jobs.has(jobId) || this.#retired.has(jobId);
  }

  /** The final state of a retired job. */
  retiredState(jobId: string): schema.scheduling.JobState | undefined {
    return this.#retired.get(jobId);
  }

  /** Drops a finished job, except for its final state. */
  retireJob(jobId: string, finalState: schema.scheduling.JobState): void {
    this.jobs.delete(jobId);
    this.#cancelledEarly.delete(jobId);
    this.#retired.set(jobId, finalState);
  }

  /** Adds a job, restoring its stored progress; does nothing if the job is known. */
  putJob(job: schema.scheduling.Job, known: {
    readonly acceptedRevision: number;
    readonly seenAtMs: number;
    readonly progress?: schema.scheduling.JobProgress;
  }): void {
    if (this.knowsJob(job.jobId)) {
      return;
    }
    const record = new JobRecord(job, {
      ...known,
      isOverRate: !this.#workspaces.takeRateToken(job.workspace, known.seenAtMs),
    });
    if (known.progress !== undefined) {
      record.restore(known.progress);
    }
    this.jobs.set(job.jobId, record);
    if (!record.isOver) {
      this.#active.add(record);
    }
    if (this.#cancelledEarly.delete(job.jobId)) {
      this.cancelJob(job.jobId);
    }
  }

  /**
   * Cancels a job at its submitter's request and stops its runs. A job that has not been added is cancelled
   * once it is; until then, reported runs of it are stopped.
   */
  cancelJob(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job === undefined && !this.#retired.has(jobId)) {
      this.#cancelledEarly.add(jobId);
    } else if (job !== undefined && !job.isOver) {
      this.#endJob(job, "cancelled");
    }
  }

  /**
   * Adds or updates a worker. A different start time under the same id means a restart. Returns undefined
   * if the registration is that of an incarnation that is over.
   */
  putWorker(info: schema.scheduling.WorkerInfo, nowMs: number): WorkerRecord | undefined {
    if (this.#endedIncarnations.has(info)) {
      return undefined;
    }
    const present = this.workers.get(info.workerId);
    if (present !== undefined && present.info.startedUnixMs === info.startedUnixMs) {
      present.info = info;
      present.isListed = true;
      this.#withdrawExcessStarts(present);
      return present;
    }
    if (present !== undefined) {
      if (present.info.pool === info.pool) {
        this.recordCrash(present, nowMs, "its process has restarted");
      }
      return this.replaceWorker(present, info, { nowMs, reason: "the worker restarted" });
    }
    const worker = new WorkerRecord(info, nowMs);
    this.workers.set(info.workerId, worker);
    return worker;
  }

  /**
   * Replaces a worker by a later incarnation under the same id. A run whose start may have reached that one
   * is kept until its report lists the run or, if the start got no answer, until a stop rules the run out;
   * all others are lost. Returns undefined if the worker has been removed already.
   */
  replaceWorker(worker: WorkerRecord, info: schema.scheduling.WorkerInfo, { nowMs, reason }: {
    readonly nowMs: number;
    readonly reason: string;
  }): WorkerRecord | undefined {
    if (this.workers.get(worker.info.workerId) !== worker) {
      return undefined;
    }
    const kept = [...worker.runs.values()].filter((run) =>
      mayHaveReachedSuccessor(run, worker.noSuccessorBeforeMs)
    );
    kept.forEach((run) => worker.removeRun(run, nowMs));
    this.#dropIncarnation(worker, { nowMs, reason, isReplaced: true });
    const successor = new WorkerRecord(info, nowMs, { isSuccessor: true });
    this.workers.set(info.workerId, successor);
    kept.forEach((run) => this.#keepRun(run, successor));
    return successor;
  }

  /** Keeps a run on the next incarnation of its worker; it is stopped unless its start has been confirmed. */
  #keepRun(run: Run, successor: WorkerRecord): void {
    const isConfirmed = run.state === "running" && run.startSettledAtMs !== undefined;
    successor.addRun(run);
    run.reportedAtMs = undefined;
    run.verifyAfterMs = undefined;
    this.#options.log.info("Run may be on the worker's next incarnation", {
      job: run.step.job.job.jobId,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      isConfirmed,
    });
    if (!isConfirmed) {
      run.confirmedAtMs = undefined;
      run.state = "starting";
      this.withdrawStart(run, "the worker restarted while the start was under way");
    }
  }

  /** Withdraws all unconfirmed starts on a worker whose capacity has shrunk below what it holds. */
  #withdrawExcessStarts(worker: WorkerRecord): void {
    if (resources.fits(worker.used, worker.info.total)) {
      return;
    }
    for (const run of [...worker.runs.values()]) {
      if (run.state === "starting") {
        this.withdrawStart(run, "the worker's capacity has shrunk");
      }
    }
  }

  /**
   * Withdraws a start order that must not be repeated. The run may exist, so it takes up resources
   * until the worker has accepted a stop, which also rejects a late start. A gang cannot work
   * without one of its tasks, so all of its runs are withdrawn.
   */
  withdrawStart(run: Run, reason: string): void {
    const runs = run.step.spec.isGang ? run.step.runs() : [run];
    runs.forEach((each) => this.#stop(each, reason));
  }

  /** Records that a worker's registration has been removed. It is kept while runs depend on it. */
  recordWorkerUnlisted(workerId: string): void {
    this.#endedIncarnations.recordUnlisted(workerId);
    const worker = this.workers.get(workerId);
    if (worker !== undefined) {
      worker.isListed = false;
    }
  }

  /**
   * Records that a worker's process has ended, before the worker is dropped. It counts as a crash
   * unless somebody has ordered or announced the end.
   */
  recordCrash(worker: WorkerRecord, nowMs: number, seenAs: string): void {
    if (worker.hasEnded || worker.isDown || !crashSuspicion.canHaveCrashed(worker)) {
      return;
    }
    const suspects = this.#crashSuspicion.recordCrash(worker, nowMs);
    this.crashCounts.crashes++;
    suspects.forEach(({ step }) => this.#dirty.add(step.job));
    this.#options.log.info("Worker crashed", {
      worker: worker.info.workerId,
      vm: worker.info.vm,
      seenAs,
      runs: worker.runs.size,
      suspects: describeSuspects(suspects),
    });
  }

  /** Removes a worker whose process is gone, and all its runs. */
  dropWorker(worker: WorkerRecord, nowMs: number, reason: string): void {
    this.#dropIncarnation(worker, { nowMs, reason, isReplaced: false });
  }

  #dropIncarnation(worker: WorkerRecord, { nowMs, reason, isReplaced }: {
    readonly nowMs: number;
    readonly reason: string;
    /** Whether a later incarnation of the worker has been seen. */
    readonly isReplaced: boolean;
  }): void {
    worker.hasEnded = true;
    this.#endedIncarnations.record(worker.info, { endedAtMs: nowMs, isReplaced });
    this.#advice.forgetWorker(worker.info.workerId);
    for (const run of [...worker.runs.values()]) {
      this.#loseRun(run, nowMs, reason);
    }
    if (this.workers.get(worker.info.workerId) === worker) {
      this.workers.delete(worker.info.workerId);
    }
  }

  /**
   * Reconciles the workers with the platform's list of VMs. A worker that was known before the list
   * was requested and isn't up on it is dropped with its runs. Once all workers on the list have
   * reported, no run of a previous owner can be unknown, so the takeover is settled. The pages of a
   * list are read at different times, so a VM may be missing from a single list.
   */
  applyVmList(
    listed: readonly schema.scheduling.ListedVm[],
    { askedAtMs, nowMs }: { readonly askedAtMs: number; readonly nowMs: number },
  ): void {
    const alive = aliveWorkerIds(listed);
    const vms = new Map(listed.map((vm) => [vm.vm, vm]));
    const listedVms = new Set(listed.map(({ vm }) => vm));
    for (const worker of [...this.workers.values()]) {
      worker.missedListCount = listedVms.has(worker.info.vm) ? 0 : worker.missedListCount + 1;
      const isGone = worker.missedListCount === 0 ||
        worker.missedListCount > MAX_MISSED_LISTS;
      if (isGone && worker.knownSinceMs < askedAtMs && !alive.has(worker.info.workerId)) {
        const seenAs = this.#crashSeenInList(worker, vms.get(worker.info.vm), askedAtMs);
        if (seenAs !== undefined) {
          this.recordCrash(worker, nowMs, seenAs);
        }
        this.#dropListedAsDown(worker, vms.get(worker.info.vm), { askedAtMs, nowMs });
      }
    }
    this.#vmListAskedAtMs = askedAtMs;
    this.#crashSuspicion.recordVmList(askedAtMs);
    alive.forEach((id) => this.#endedIncarnations.recordAlive(id, askedAtMs));
    this.hasUnknownWorkers = [...alive].some((id) => !this.workers.has(id));
    if (this.isSettled) {
      return;
    }
    if (askedAtMs >= this.#options.takeover.atMs) {
      this.#listedTotals = new Map(
        listed.flatMap(({ workerId, total }) =>
          workerId !== undefined && alive.has(workerId) ? [[workerId, total] as const] : []
        ),
      );
    }
    const hasReported = (id: string) => this.workers.get(id)?.hasReported ?? false;
    this.#census.recordList(listed, { askedAtMs, hasReported });
    const isOfThisTerm = askedAtMs >= this.#options.takeover.atMs;
    if (isOfThisTerm && [...alive].every(hasReported) && this.#haveUnlistedReported()) {
      this.settle(nowMs, "all workers have reported");
    }
    this.#settleAfterCensus(nowMs);
  }

  /**
   * Drops a worker that a list doesn't show as up. Its VM was down at `askedAtMs` or later, and the worker may
   * have started again since under its id; it is kept while a start may have reached that incarnation.
   */
  #dropListedAsDown(
    worker: WorkerRecord,
    vm: schema.scheduling.ListedVm | undefined,
    { askedAtMs, nowMs }: { readonly askedAtMs: number; readonly nowMs: number },
  ): void {
    const reason = "its VM is down";
    worker.noSuccessorBeforeMs = Math.max(worker.noSuccessorBeforeMs, askedAtMs);
    const kept = vm?.state === "up"
      ? []
      : [...worker.runs.values()].filter((run) =>
        mayHaveReachedSuccessor(run, worker.noSuccessorBeforeMs)
      );
    if (kept.length === 0) {
      this.dropWorker(worker, nowMs, reason);
      return;
    }
    worker.isDown = true;
    for (const run of [...worker.runs.values()]) {
      if (!kept.includes(run)) {
        this.#loseRun(run, nowMs, reason);
      } else if (run.state === "starting") {
        this.withdrawStart(run, reason);
      }
    }
  }

  /**
   * How a list shows that a worker has crashed; undefined if it does not. A VM that is up with another
   * worker may have been moved or maintained, unless that would have shown in an earlier list.
   */
  #crashSeenInList(
    worker: WorkerRecord,
    vm: schema.scheduling.ListedVm | undefined,
    askedAtMs: number,
  ): string | undefined {
    if (vm === undefined || vm.pool !== worker.info.pool) {
      return undefined;
    }
    if (vm.state === "down") {
      return "its VM is down";
    }
    const isRecentList = askedAtMs - this.#vmListAskedAtMs < MAX_UNSEEN_VM_STATE_MS;
    return vm.state === "up" && vm.workerId !== undefined && isRecentList
      ? "its VM runs another worker"
      : undefined;
  }

  #settleAfterCensus(nowMs: number): void {
    if (!this.isSettled && this.#census.isComplete && this.#haveUnlistedReported()) {
      this.settle(nowMs, "all workers of the previous owner's time have reported");
    }
  }

  /** Whether all workers whose VM is missing from the last list have reported. */
  #haveUnlistedReported(): boolean {
    return [...this.workers.values()].every((worker) =>
      worker.hasReported || worker.missedListCount === 0
    );
  }

  /** Whether a worker has ends that no report has listed yet, so that tasks may be done that seem to wait. */
  hasUnlistedEnds(nowMs: number): boolean {
    return [...this.workers.values()].some((worker) => worker.hasUnlistedEnds(nowMs));
  }

  /**
   * Whether nothing of the job is needed any more but its final state. While it may have runs that no worker
   * has reported, they count against its workspace's limit, also under a next owner.
   */
  canRetire(job: JobRecord): boolean {
    return job.isRetirable() && (job.state === "complete" || !this.#mayHaveUnreportedRuns(job));
  }

  /** Marks the takeover as settled: no run of a previous owner can be unknown any more. */
  settle(nowMs: number, reason: string): void {
    this.isSettled = true;
    for (const job of this.jobs.values()) {
      if (job.isRetirable()) {
        this.#dirty.add(job);
      }
    }
    this.#options.log.info("Takeover settled", {
      waitedMs: Math.round(nowMs - this.#options.takeover.atMs),
      reason,
    });
  }

  /**
   * Drops the runs of workers whose lease expired, and unlisted workers that run nothing. A start may be
   * carried out after that, so the worker has yet to show that the dropped runs are over.
   */
  expireLeases(nowMs: number): void {
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size > 0 && nowMs > worker.leaseExpiryMs()) {
        this.#options.log.info("Worker lease expired", {
          worker: worker.info.workerId,
          runs: worker.runs.size,
          leaseUntilWorkerMs: worker.leaseUntilWorkerMs,
          ...worker.clockReading(nowMs),
        });
        for (const run of [...worker.runs.values()]) {
          this.#loseRun(run, nowMs, "the lease expired");
          worker.strayRuns.add({ task: run.task.name, runId: run.runId });
        }
      }
      if (!worker.isListed && isKnownIdle(worker)) {
        this.workers.delete(worker.info.workerId);
      }
    }
  }

  /**
   * Applies a worker's report, whose state dates from between the request and the response. It lists all
   * runs but not all ends, so a run that it lacks may have ended. A worker that has been removed meanwhile
   * is left alone: nothing would ever end a run that it took over.
   */
  applyReport(worker: WorkerRecord, report: schema.scheduling.WorkerReport, at: {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
  }): void {
    if (this.workers.get(worker.info.workerId) !== worker) {
      this.#options.log.info("Ignored the report of a removed worker", {
        worker: worker.info.workerId,
        running: report.running.length,
        ends: report.ends.length,
      });
      return;
    }
    if (report.startedUnixMs !== undefined) {
      worker.isDown = worker.isDown && at.sentAtMs <= worker.noSuccessorBeforeMs;
      worker.noSuccessorBeforeMs = Math.max(worker.noSuccessorBeforeMs, at.sentAtMs);
    }
    const isFirstReport = !worker.hasClock;
    worker.setClock(report.workerClockMs, at.receivedAtMs);
    if (isFirstReport) {
      worker.recordPreviousLease();
    }
    const unknownTasks = this.#applyEnds(worker, report, at.receivedAtMs);
    const areEndsApplied = unknownTasks.size === 0;
    worker.hasMoreEnds = report.hasMoreEnds && areEndsApplied;
    const listed = new Set(report.ends.map(({ task, runId }) => runKey(task, runId)));
    for (const reported of report.running) {
      listed.add(runKey(reported.task, reported.runId));
      const run = this.#findOrAdoptRun(worker, reported, at.receivedAtMs);
      if (run === undefined) {
        unknownTasks.add(reported.task);
        if (this.#belongsToForgottenJob(reported.task)) {
          worker.strayRuns.add(reported);
        }
      } else {
        updateRun(run, reported, at.receivedAtMs);
      }
    }
    worker.unknownTasks = unknownTasks;
    const stops = worker.strayRuns.applyReport(report, {
      sentAtMs: at.sentAtMs,
      isTracked: (key) => worker.runs.has(key),
    });
    for (const { task, runId } of stops) {
      this.#orders.push({ kind: "stop-stray", workerId: worker.info.workerId, task, runId });
    }
    for (const run of report.hasMoreEnds ? [] : [...worker.runs.values()]) {
      const isAbsent = (run.verifyAfterMs ?? run.confirmedAtMs ?? Infinity) < at.sentAtMs;
      if (isAbsent && !listed.has(runKey(run.task.name, run.runId))) {
        this.#loseRun(run, at.receivedAtMs, "the worker's report lacks the run");
      }
    }
    if (areEndsApplied && !report.hasMoreEnds) {
      worker.hasReported = true;
      this.#census.recordReport(worker.info.workerId);
      this.#settleAfterCensus(at.receivedAtMs);
    }
  }

  /**
   * Applies the listed ends up to the first one of a job that has not been loaded yet, as acknowledging
   * that one would lose it. Returns the name of its task.
   */
  #applyEnds(
    worker: WorkerRecord,
    report: schema.scheduling.WorkerReport,
    receivedAtMs: number,
  ): Set<string> {
    worker.ends.recordListed(report.ends.at(-1)?.endNumber ?? 0, receivedAtMs);
    for (const end of report.ends) {
      if (this.#findTask(end.task) === undefined && !this.#belongsToForgottenJob(end.task)) {
        return new Set([end.task]);
      }
      if (end.endNumber > worker.ends.processed) {
        worker.ends.processed = end.endNumber;
        this.#applyEnd(worker, end, receivedAtMs);
      }
    }
    return new Set();
  }

  /** Whether nothing is known of the task's job but that it is over: retired, or cancelled before it was added. */
  #belongsToForgottenJob(taskName: string): boolean {
    const path = parseTaskName(taskName);
    return path !== undefined &&
      (this.#retired.has(path.jobId) || this.#cancelledEarly.has(path.jobId));
  }

  /** Records that a start order is being sent. */
  recordStartSent(run: Run, nowMs: number): void {
    run.startSentAtMs = nowMs;
    run.startSettledAtMs = undefined;
  }

  /** Applies the outcome of a start order. */
  recordStartOutcome(run: Run, outcome: schema.scheduling.OrderOutcome, { nowMs, isRepeated }: {
    readonly nowMs: number;
    /** Whether an earlier attempt at the order got no answer, so that the run may exist. */
    readonly isRepeated: boolean;
  }): void {
    const worker = this.workers.get(run.workerId);
    if (worker?.runs.get(runKey(run.task.name, run.runId)) !== run) {
      return;
    }
    run.startSettledAtMs = nowMs;
    run.delivery = outcome.kind === "unknown" && outcome.isSent === false &&
        (!isRepeated || run.delivery === "refused")
      ? "refused"
      : "sent";
    if (outcome.kind === "done") {
      run.confirmedAtMs ??= nowMs;
      run.state = run.state === "starting" ? "running" : run.state;
      return;
    }
    if (outcome.kind !== "refused") {
      return;
    }
    this.#options.log.info("Start refused", {
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      reason: outcome.reason,
    });
    if (outcome.reason === "ticket") {
      this.#advice.invalidateTicket(run.step, run.workerId);
    } else if (outcome.reason !== "old" && outcome.reason !== "late") {
      worker.recordFailure(run.step.job.job.jobId, nowMs);
    }
    if (isRepeated) {
      // An earlier order may be carried out seconds later; only a stop keeps the worker from that.
      this.withdrawStart(run, `a repeated start was refused: ${outcome.reason}`);
    } else {
      this.#loseRun(run, nowMs, `refused: ${outcome.reason}`);
    }
  }

  /** Records that the worker accepted a stop; the run is over once a later report lacks it. */
  recordStopAccepted(run: Run, nowMs: number): void {
    run.verifyAfterMs ??= nowMs;
  }

  /** Stops a run whose task is to continue elsewhere, for example before maintenance of its VM. */
  evacuate(run: Run, reason: string): void {
    this.#stop(run, reason);
  }

  /** Caches the tickets that the advice service granted, up to a monotonic time. */
  recordAdvice(step: StepRecord, tickets: Tickets, untilMs: number): void {
    if (!step.job.isOver) {
      this.#advice.recordAnswer(step, tickets, untilMs);
    }
  }

  /** Records that an advice request failed; the next decision repeats it. */
  recordAdviceFailure(step: StepRecord): void {
    if (!step.job.isOver) {
      this.#advice.recordFailure(step);
    }
  }

  /** Places ready tasks and adjusts paces; returns the orders given since the last call. */
  decide(now: DecisionTime): Order[] {
    this.#giveUpConvicted(now.nowMs);
    this.#placeReadySteps(now);
    for (const { run, percent } of decidePaceChanges(this.workers.values(), now.nowMs)) {
      this.#orders.push({ kind: "pace", run, percent });
    }
    return this.#orders.splice(0);
  }

  /** Takes jobs with unstored progress, in the order of their first change, up to a total cost. */
  takeDirtyJobs(maxCost: number, costOf: (job: JobRecord) => number): JobRecord[] {
    const jobs: JobRecord[] = [];
    let cost = 0;
    for (const job of this.#dirty) {
      cost += costOf(job);
      if (cost > maxCost) {
        break;
      }
      jobs.push(job);
    }
    jobs.forEach((job) => this.#dirty.delete(job));
    return jobs;
  }

  get dirtyJobCount(): number {
    return this.#dirty.size;
  }

  /** Marks a job's progress as unstored again, after a failed write. */
  markDirty(job: JobRecord): void {
    this.#dirty.add(job);
  }

  /** Steps whose dependencies are done and that have waiting tasks, the most urgent first. */
  readySteps({ nowMs, wallMs }: DecisionTime): { step: StepRecord; urgency: stepOrder.Urgency }[] {
    const ready: { step: StepRecord; urgency: stepOrder.Urgency }[] = [];
    for (const job of this.#active) {
      for (const step of job.readySteps(wallMs)) {
        const queue = this.queueOf(job);
        const view = { queue, durationRatio: this.durationRatio(job.job.queue) };
        const dueMs = job.dueUnixMs(step.occurrence);
        const sinceMs = dueMs === 0 ? job.seenAtMs : nowMs - (wallMs - dueMs);
        const { isOverRate } = job;
        const urgency = stepOrder.urgencyOf(step, { view, nowMs, sinceMs, isOverRate });
        ready.push({ step, urgency });
      }
    }
    return ready.sort((a, b) => stepOrder.compareUrgency(a.urgency, b.urgency));
  }

  /** The average ratio of actual to estimated durations of a queue's tasks. */
  durationRatio(queue: string): number {
    return this.#durationRatios.get(queue) ?? 1;
  }

  /** The number of a queue's accepted jobs without a started task. */
  pendingCount(queue: string): number {
    let count = 0;
    for (const job of this.#active) {
      count += job.job.queue === queue && job.state === "queued" ? 1 : 0;
    }
    return count;
  }

  /** Whether a previous owner may have started runs of the job that no worker has reported yet. */
  #mayHaveUnreportedRuns(job: JobRecord): boolean {
    const { revision, atMs, staleOwnerMs } = this.#options.takeover;
    return !this.isSettled &&
      (job.acceptedRevision <= revision || job.seenAtMs <= atMs + staleOwnerMs);
  }

  /** The ids of jobs whose tasks appeared in worker reports before the jobs were loaded. */
  #jobIdsOfUnknownTasks(): Set<string> {
    const jobIds = new Set<string>();
    for (const { unknownTasks } of this.workers.values()) {
      for (const task of unknownTasks) {
        jobIds.add(parseTaskName(task)?.jobId ?? task);
      }
    }
    return jobIds;
  }

  /**
   * The resources that each pool needs for its running tasks and those ready within `lookaheadMs`.
   * Tasks that a workspace's limit holds back don't count, since more VMs would not start them.
   */
  demandByPool(now: DecisionTime, lookaheadMs: number): Map<string, schema.scheduling.Resources> {
    const demand = new Map<string, schema.scheduling.Resources>();
    const charge = (pool: string, allocation: schema.scheduling.Resources, count: number) =>
      demand.set(
        pool,
        resources.add(demand.get(pool) ?? resources.NO_RESOURCES, allocation, count),
      );
    for (const job of this.#active) {
      const pool = this.queueOf(job)?.pool;
      for (const run of pool === undefined ? [] : job.runs()) {
        charge(pool!, run.allocation, 1);
      }
    }
    const planned = new Map<string, schema.scheduling.Resources>();
    for (const { step } of this.readySteps({ ...now, wallMs: now.wallMs + lookaheadMs })) {
      const { queue, workspace } = step.job.job;
      const pool = this.#queues.get(queue)?.pool;
      const used = planned.get(workspace) ?? this.#workspaces.used(workspace);
      const limit = this.#workspaces.limit(workspace);
      const maxCount = step.waitingCount;
      const count = resources.countWithinLimit(step.spec.resources, { used, limit, maxCount });
      planned.set(workspace, resources.add(used, step.spec.resources, count));
      if (pool !== undefined) {
        charge(pool, resources.allocationOf(step.spec), count);
      }
    }
    return demand;
  }

  /**
   * The minimum number of workers that each pool needs to spread its long-running tasks, and to have one
   * without runs for a suspect of crashes that may start nowhere else.
   */
  minWorkersByPool(nowMs: number): Map<string, number> {
    const counts = this.#workersForSuspects(nowMs);
    for (const job of this.#active) {
      const pool = this.queueOf(job)?.pool;
      for (const { isLasting, maxTasksPerWorker, taskCount } of job.job.spec.steps) {
        if (pool !== undefined && isLasting && maxTasksPerWorker > 0) {
          const count = Math.ceil(taskCount / maxTasksPerWorker);
          counts.set(pool, Math.max(counts.get(pool) ?? 0, count));
        }
      }
    }
    return counts;
  }

  /** For pools in which suspects wait for a worker of their own, the busy workers and some more. */
  #workersForSuspects(nowMs: number): Map<string, number> {
    const counts = new Map<string, number>();
    for (const job of this.#active) {
      const pool = this.queueOf(job)?.pool;
      const waiting = job.knownSteps
        .filter(({ hasCrashes }) => hasCrashes)
        .flatMap((step) => this.#tasksForOwnWorkers(step, nowMs));
      if (pool !== undefined && waiting.length > 0) {
        const count = (counts.get(pool) ?? 0) + waiting.length;
        counts.set(pool, Math.min(MAX_WORKERS_FOR_SUSPECTS, count));
      }
    }
    for (const { info, runs } of counts.size === 0 ? [] : this.workers.values()) {
      if (counts.has(info.pool) && runs.size > 0) {
        counts.set(info.pool, counts.get(info.pool)! + 1);
      }
    }
    return counts;
  }

  #placeReadySteps(now: DecisionTime): void {
    const ready = this.readySteps(now);
    if (ready.length === 0) {
      return;
    }
    const pools = groupByPool(this.workers.values(), now.nowMs);
    const reserved = new Set<string>();
    const unseenUsage = new Map<string, schema.scheduling.Resources>();
    const jobIdsOfUnknownTasks = this.#jobIdsOfUnknownTasks();
    // Tasks that need a worker of their own come first, as they would find none after the others.
    const needsWorker = ready.filter(({ step }) =>
      step.hasCrashes && this.#tasksForOwnWorkers(step, now.nowMs).length > 0
    );
    const ordered = needsWorker.length === 0 ? ready : [
      ...needsWorker,
      ...ready.filter((one) => !needsWorker.includes(one)),
    ];
    for (const { step } of ordered) {
      const queue = this.queueOf(step.job);
      const pool = queue && pools.get(queue.pool);
      const mayHaveUnreportedRuns = this.#mayHaveUnreportedRuns(step.job) ||
        jobIdsOfUnknownTasks.has(step.job.job.jobId);
      if (queue !== undefined && pool !== undefined && !mayHaveUnreportedRuns) {
        const { workspace } = step.job.job;
        const unseen = unseenUsage.get(workspace) ?? this.#unseenUsage(workspace, now.wallMs);
        unseenUsage.set(workspace, unseen);
        this.#placeStep(step, { pool, reserved, nowMs: now.nowMs, queue, unseen });
      }
    }
  }

  /** What a workspace with a limit may have at work that no worker has reported since the takeover. */
  #unseenUsage(workspace: string, wallMs: number): schema.scheduling.Resources {
    if (this.isSettled || !this.#workspaces.isLimited(workspace)) {
      return resources.NO_RESOURCES;
    }
    const jobs = [...this.jobs.values()].filter((job) =>
      job.job.workspace === workspace && this.#mayHaveUnreportedRuns(job)
    );
    return boundUnseenUsage(jobs, { capacity: this.#unreportedCapacity(), wallMs });
  }

  /** The capacity of the workers that have yet to report; undefined before a list has shown them. */
  #unreportedCapacity(): schema.scheduling.Resources | undefined {
    const listed = this.#listedTotals;
    if (listed === undefined) {
      return undefined;
    }
    const ids = new Set([...listed.keys(), ...this.workers.keys()]);
    return unreportedCapacity([...ids].map((id) => {
      const worker = this.workers.get(id);
      return {
        hasReported: worker !== undefined && worker.hasReported && worker.unknownTasks.size === 0,
        totals: [listed.get(id), worker?.info.total].filter((total) => total !== undefined),
      };
    }));
  }

  #tasksForOwnWorkers(step: StepRecord, nowMs: number): TaskRecord[] {
    return [...step.knownTasks].filter((task) => this.#needsOwnWorker(task, nowMs));
  }

  #needsOwnWorker(task: TaskRecord, nowMs: number): boolean {
    return task.isWaiting && !crashSuspicion.isHeld(task) &&
      crashSuspicion.isolationOf(task, nowMs) === "required";
  }

  /** Gives up the jobs of tasks that have been found to crash their workers. */
  #giveUpConvicted(nowMs: number): void {
    for (
      const { job, task, crashes, isConvicted } of this.#crashSuspicion.judge(
        this.workers.values(),
        nowMs,
      )
    ) {
      if (job.isOver) {
        continue;
      }
      this.#dirty.add(job);
      if (!isConvicted) {
        continue;
      }
      this.crashCounts.givenUp++;
      this.#options.log.info("Task given up, as it crashes its workers", {
        job: job.job.jobId,
        task: task.name,
        crashes: crashes.count,
        vms: [...crashes.vms].join(" "),
        aloneOn: crashes.aloneOn.join(" "),
      });
      this.#endJob(job, "failed");
    }
  }

  #placeStep(step: StepRecord, context: {
    readonly pool: PoolWorkers;
    readonly reserved: Set<string>;
    readonly nowMs: number;
    readonly queue: schema.scheduling.Queue;
    /** What the job's workspace may have at work beside its known runs. */
    readonly unseen: schema.scheduling.Resources;
  }): void {
    const { pool, reserved, nowMs, queue, unseen } = context;
    const { workspace } = step.job.job;
    const { workers } = pool;
    const tickets = queue.advice === undefined ? undefined : this.#advice.ticketsFor(step, nowMs);
    const held = step.hasCrashes ? heldTasks(step) : NO_TASKS;
    if (step.spec.isGang && step.waitingCount - held.size < step.spec.taskCount) {
      return;
    }
    const placed: Run[] = [];
    const gangRunId = step.spec.isGang ? this.#nextGangRunId(step) : undefined;
    for (const task of step.waitingTasks()) {
      if (held.has(task)) {
        continue;
      }
      if (!this.#workspaces.hasCapacity(workspace, step.spec.resources, unseen)) {
        this.#logHeldBack(step, unseen);
        break;
      }
      const choice = { step, pool, reserved, nowMs, allowed: tickets };
      const worker = task.crashes === undefined
        ? this.#chooseWorker(task, choice)
        : this.#chooseWorkerForSuspect(task, choice);
      if (worker === undefined && tickets !== undefined) {
        this.#requestAdvice({ step, workers, reserved, nowMs });
      }
      if (worker === undefined && !step.spec.isGang && this.#needsOwnWorker(task, nowMs)) {
        continue;
      }
      if (worker === undefined) {
        this.#reserveWorker({ step, workers, reserved, nowMs, allowed: tickets }, reserved);
        break;
      }
      placed.push(
        this.#addRun(step, task, worker, { runId: gangRunId ?? this.#nextRunId(task), nowMs }),
      );
    }
    if (step.spec.isGang && placed.length < step.spec.taskCount) {
      placed.forEach((run) => this.#removeRun(run, nowMs));
      pool.invalidate();
      return;
    }
    for (const run of placed) {
      step.job.state = "active";
      this.#orders.push({ kind: "start", run, ticket: tickets?.get(run.workerId) });
    }
  }

  /** Logs that a workspace has to wait for the takeover, unless its known runs use up its limit alone. */
  #logHeldBack({ name, spec, job }: StepRecord, unseen: schema.scheduling.Resources): void {
    const { workspace } = job.job;
    if (
      !this.#heldBackWorkspaces.has(workspace) &&
      this.#workspaces.hasCapacity(workspace, spec.resources)
    ) {
      this.#heldBackWorkspaces.add(workspace);
      this.#options.log.info("Workspace held back by runs that may be at work unseen", {
        workspace,
        step: name,
        usedMillicores: this.#workspaces.used(workspace).cpuMillicores,
        unseenMillicores: unseen.cpuMillicores,
        limitMillicores: this.#workspaces.limit(workspace).cpuMillicores,
      });
    }
  }

  #chooseWorker(task: TaskRecord, { step, pool, reserved, nowMs, allowed }: {
    readonly step: StepRecord;
    readonly pool: PoolWorkers;
    readonly reserved: ReadonlySet<string>;
    readonly nowMs: number;
    readonly allowed: Tickets | undefined;
  }): WorkerRecord | undefined {
    if (!pool.mightFit(resources.allocationOf(step.spec))) {
      return undefined;
    }
    const preferredRack = step.spec.isSameRack ? rackOf(step, this.workers) : undefined;
    const { workers } = pool;
    const worker = chooseWorker({ step, task, workers, nowMs, allowed, reserved, preferredRack });
    if (worker === undefined) {
      pool.invalidate();
    }
    return worker;
  }

  /** Chooses a worker without other jobs for a suspect, or the next best one if it need not wait. */
  #chooseWorkerForSuspect(task: TaskRecord, context: {
    readonly step: StepRecord;
    readonly pool: PoolWorkers;
    readonly reserved: Set<string>;
    readonly nowMs: number;
    readonly allowed: Tickets | undefined;
  }): WorkerRecord | undefined {
    const { step, pool, reserved, nowMs, allowed } = context;
    const isolation = crashSuspicion.isolationOf(task, nowMs);
    if (isolation === "none") {
      return this.#chooseWorker(task, context);
    }
    // A second crash of the same VM would tell less, as the VM may crash by itself.
    const others = pool.workers.filter((worker) =>
      worker.isSchedulable(nowMs) && !task.crashes!.vms.has(worker.info.vm)
    );
    const workers = others.length > 0 ? others : pool.workers;
    const preferredRack = step.spec.isSameRack ? rackOf(step, this.workers) : undefined;
    const request = { step, task, workers, nowMs, allowed, preferredRack };
    const ownId = this.#isolationWorkers.get(task);
    const othersReserved = new Set([...reserved].filter((id) => id !== ownId));
    const isolatedCount = workers.filter((worker) => worker.isIsolated(nowMs)).length;
    const apart = isolation === "required" ||
        isolatedCount < Math.max(1, workers.length * MAX_ISOLATED_SHARE)
      ? chooseWorker({ ...request, reserved: othersReserved, isApart: true })
      : undefined;
    if (apart !== undefined) {
      this.#isolationWorkers.delete(task);
      return apart;
    }
    if (isolation === "preferred") {
      return chooseWorker({ ...request, reserved });
    }
    const kept = chooseReservation(
      { step, workers, nowMs, allowed, reserved: othersReserved },
      ownId,
    );
    if (kept !== undefined) {
      reserved.add(kept.info.workerId);
      this.#isolationWorkers.set(task, kept.info.workerId);
    }
    return undefined;
  }

  /** Reserves a worker for a long-running task that fits nowhere, as it must not wait for long. */
  #reserveWorker(request: EligibilityRequest, reserved: Set<string>): void {
    const { step } = request;
    if (!step.spec.isLasting || step.spec.usesSpareCpu) {
      return;
    }
    const reservedId = this.#reservedWorkers.get(step);
    const worker = chooseReservation(request, reservedId);
    if (worker === undefined) {
      return;
    }
    const { workerId } = worker.info;
    reserved.add(workerId);
    if (workerId !== reservedId) {
      this.#reservedWorkers.set(step, workerId);
      this.#options.log.info("Worker reserved for a long-running task", {
        step: step.name,
        worker: workerId,
        freeMillicores: worker.free.cpuMillicores,
        runs: worker.runs.size,
      });
    }
  }

  #requestAdvice(request: EligibilityRequest): void {
    const workerIds = this.#advice.workersToAsk(request);
    if (workerIds.length > 0) {
      this.#orders.push({ kind: "advise", step: request.step, workerIds });
    }
  }

  /** The first id of this term. */
  get #firstRunId(): number {
    return (this.#options.term - 1) * RUN_IDS_PER_TERM + 1;
  }

  #nextRunId(task: TaskRecord): number {
    return Math.max(task.lastRunId + 1, this.#firstRunId);
  }

  /** The tasks of a gang share the id of their runs. */
  #nextGangRunId(step: StepRecord): number {
    let runId = this.#firstRunId;
    for (const task of step.knownTasks) {
      runId = Math.max(runId, this.#nextRunId(task));
    }
    return runId;
  }

  #addRun(step: StepRecord, task: TaskRecord, worker: WorkerRecord, { runId, nowMs }: {
    readonly runId: number;
    readonly nowMs: number;
  }): Run {
    const suspectUntilMs = crashSuspicion.suspectUntilMs(step, task, nowMs);
    const run: Run = {
      step,
      task,
      runId,
      workerId: worker.info.workerId,
      orderedAtMs: nowMs,
      isTakenOver: false,
      allocation: resources.allocationOf(step.spec),
      state: "starting",
      delivery: "pending",
      suspectUntilMs,
      isolatedUntilMs: worker.isFreeFor(step.job) ? suspectUntilMs : 0,
      startSentAtMs: undefined,
      startSettledAtMs: undefined,
      confirmedAtMs: undefined,
      reportedAtMs: undefined,
      verifyAfterMs: undefined,
      percent: 0,
      load: 0,
      pacePercent: 100,
      isPaceUncertain: false,
      pacedAtMs: 0,
      mayBeStoppingUntilMs: 0,
    };
    worker.addRun(run);
    task.lastRunId = Math.max(task.lastRunId, runId);
    step.assign(task, run);
    this.#charge(run, 1);
    if (run.isolatedUntilMs > 0) {
      this.#options.log.info("Suspect starts apart from other jobs", {
        job: step.job.job.jobId,
        task: task.name,
        run: runId,
        worker: run.workerId,
        crashes: task.crashes?.count,
      });
    }
    return run;
  }

  #charge(run: Run, factor: 1 | -1): void {
    this.#workspaces.charge(run.step.job.job.workspace, run.step.spec.resources, factor);
  }

  #removeRun(run: Run, nowMs: number): void {
    const worker = this.workers.get(run.workerId);
    if (worker?.runs.get(runKey(run.task.name, run.runId)) === run) {
      worker.removeRun(run, nowMs);
      this.#charge(run, -1);
    }
    if (run.task.run === run) {
      run.step.release(run.task);
    }
    const { job } = run.step;
    if (job.isRetirable()) {
      this.#dirty.add(job);
    }
  }

  /** Removes a run that is over without a reported end. */
  #loseRun(run: Run, nowMs: number, reason: string): void {
    this.#removeRun(run, nowMs);
    this.#options.log.info("Run lost", {
      job: run.step.job.job.jobId,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      ageMs: Math.round(nowMs - run.orderedAtMs),
      reason,
    });
  }

  #applyEnd(worker: WorkerRecord, end: schema.scheduling.ReportedEnd, nowMs: number): void {
    const run = worker.runs.get(runKey(end.task, end.runId));
    if (run !== undefined) {
      this.#removeRun(run, nowMs);
    }
    const found = this.#findTask(end.task);
    if (found === undefined) {
      return;
    }
    const { job, step, task } = found;
    task.lastRunId = Math.max(task.lastRunId, end.runId);
    if (end.checkpoint !== "") {
      task.checkpoint = end.checkpoint;
    }
    worker.recordEnd(end.kind, job.job.jobId, nowMs);
    // Successful ends go to the debug level, as there is one for each task; others are rare.
    this.#options.log[end.kind === "done" ? "debug" : "info"]("Run ended", {
      job: job.job.jobId,
      task: end.task,
      run: end.runId,
      worker: worker.info.workerId,
      how: end.kind,
    });
    if (end.kind === "done" && run !== undefined && step.spec.estimateMs > 0) {
      this.#updateDurationRatio(run, nowMs);
    }
    if (step.spec.isLasting || job.isOver) {
      return;
    }
    if (end.kind === "done") {
      this.#applyTaskDone(found, end.runId);
    } else if (end.kind === "failed") {
      this.#applyTaskFailure(job, step, task, { runId: end.runId, workerId: worker.info.workerId });
    }
  }

  #applyTaskDone({ job, step, task }: FoundTask, runId: number): void {
    const { isGang } = step.spec;
    for (const each of isGang ? step.knownTasks : [task]) {
      if (each.crashes !== undefined && !each.isDone) {
        this.#options.log.info("Suspect cleared, as it is done", {
          job: job.job.jobId,
          task: each.name,
          crashes: each.crashes.count,
        });
      }
    }
    // The other tasks of the gang's run that is done end by themselves.
    const unneeded = isGang
      ? step.runs().filter((run) => run.runId !== runId)
      : [task.run].filter((run) => run !== undefined);
    if (isGang) {
      // Tasks of a gang succeed together, so the first end marks all of them done.
      step.markEveryTaskDone();
    } else {
      step.markDone(task);
    }
    for (const run of unneeded) {
      this.#stop(run, "another run completed the task");
    }
    this.#dirty.add(job);
    if (job.isAllDone()) {
      this.#endJob(job, "complete");
    }
  }

  #applyTaskFailure(job: JobRecord, step: StepRecord, task: TaskRecord, failed: {
    readonly runId: number;
    readonly workerId: string;
  }): void {
    // Tasks of a gang fail together, so failures are counted on the first task.
    const counted = step.spec.isGang ? step.task(0)! : task;
    counted.failedRuns.add(failed.runId);
    task.failedOn.add(failed.workerId);
    this.#dirty.add(job);
    const maxAttempts = this.queueOf(job)?.maxAttempts ?? Number.POSITIVE_INFINITY;
    if (counted.failedRuns.size >= maxAttempts && !task.isDone) {
      this.#endJob(job, "failed");
    }
  }

  #endJob(job: JobRecord, state: "complete" | "failed" | "cancelled"): void {
    job.state = state;
    this.#active.delete(job);
    this.#dirty.add(job);
    for (const step of job.knownSteps) {
      this.#advice.forgetStep(step);
    }
    for (const run of job.runs()) {
      this.#stop(run, `the job is ${state}`);
    }
    this.#options.log.info("Job finished", { job: job.job.jobId, queue: job.job.queue, state });
  }

  /** Orders a stop, unless one is under way: it is repeated until the run is over. */
  #stop(run: Run, reason: string): void {
    if (run.state !== "stopping") {
      run.state = "stopping";
      this.#orders.push({ kind: "stop", run, reason });
    }
  }

  #updateDurationRatio(run: Run, nowMs: number): void {
    const tookMs = nowMs - (run.confirmedAtMs ?? run.orderedAtMs);
    const ratio = tookMs / run.step.spec.estimateMs;
    const queue = run.step.job.job.queue;
    const known = this.#durationRatios.get(queue) ?? 1;
    this.#durationRatios.set(queue, known + DURATION_RATIO_WEIGHT * (Math.min(ratio, 3) - known));
  }

  #findTask(taskName: string): FoundTask | undefined {
    const path = parseTaskName(taskName);
    const job = path && this.jobs.get(path.jobId);
    const step = path && job?.step(path.occurrence, path.step);
    const task = path && step?.task(path.index);
    return job && step && task ? { job, step, task } : undefined;
  }

  /**
   * Finds a reported run. An unknown run was started by a previous owner: it is taken over if its
   * task needs it, and stopped otherwise.
   */
  #findOrAdoptRun(
    worker: WorkerRecord,
    reported: schema.scheduling.ReportedRun,
    nowMs: number,
  ): Run | undefined {
    const known = worker.runs.get(runKey(reported.task, reported.runId));
    if (known !== undefined) {
      return known;
    }
    const found = this.#findTask(reported.task);
    if (found === undefined) {
      return undefined;
    }
    const { job, step, task } = found;
    const isNeeded = !job.isOver && !task.isDone && task.run === undefined &&
      !worker.strayRuns.isBeingStopped(reported);
    const run = this.#addRun(step, task, worker, { runId: reported.runId, nowMs });
    run.isTakenOver = true;
    run.mayBeStoppingUntilMs = nowMs + PREVIOUS_OWNER_STOP_MS;
    if (isNeeded) {
      job.state = "active";
    } else {
      this.#stop(run, "the run is no longer needed");
    }
    this.#options.log.info(isNeeded ? "Run taken over" : "Unneeded run found", {
      job: job.job.jobId,
      task: task.name,
      run: run.runId,
      worker: worker.info.workerId,
    });
    return run;
  }
}

/** Whether the worker is known to run nothing; before its first report it may run tasks of a previous owner. */
function isKnownIdle(worker: WorkerRecord): boolean {
  return worker.hasReported && worker.runs.size === 0 && worker.unknownTasks.size === 0 &&
    worker.strayRuns.size === 0;
}

/** The tasks that must not start yet, as their last crash is not explained or not stored. */
function heldTasks(step: StepRecord): Set<TaskRecord> {
  return new Set(
    [...step.knownTasks].filter((task) => task.isWaiting && crashSuspicion.isHeld(task)),
  );
}

function updateRun(run: Run, reported: schema.scheduling.ReportedRun, nowMs: number): void {
  run.confirmedAtMs ??= nowMs;
  run.delivery = "sent";
  run.state = run.state === "starting" ? "running" : run.state;
  run.percent = reported.percent;
  run.load = reported.load;
  run.reportedAtMs = nowMs;
  if (reported.checkpoint !== "" && run.task.run === run) {
    run.task.checkpoint = reported.checkpoint;
  }
}

/** The tasks that may have crashed a worker with their crashes so far, those that started last first. */
function describeSuspects(suspects: readonly Run[]): string {
  return [...suspects].sort((a, b) => b.orderedAtMs - a.orderedAtMs)
    .slice(0, MAX_LOGGED_SUSPECTS)
    .map(({ task }) => `${task.name} (${task.crashes?.count ?? 0})`)
    .join(", ");
}

/** The rack of the step's first run, if any; a worker's last label names its rack. */
function rackOf(
  step: StepRecord,
  workers: ReadonlyMap<string, WorkerRecord>,
): string | undefined {
  const [run] = step.runs();
  return run === undefined ? undefined : workers.get(run.workerId)?.info.labels.at(-1);
}
