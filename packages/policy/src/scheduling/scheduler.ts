/**
 * The scheduler of one term of ownership: jobs, workers and runs as they are known, and which orders
 * follow. Events and time come in, orders go out; there is no I/O here.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { JobRecord, type Run, runKey, type StepRecord, type TaskRecord } from "./job_record.ts";
import * as order from "./step_order.ts";
import { AdviceCache, type Tickets } from "./advice_cache.ts";
import { decidePaceChanges } from "./pacing.ts";
import { chooseReservation, chooseWorker, type EligibilityRequest } from "./placement.ts";
import * as resources from "./resources.ts";
import { parseTaskName } from "./task_names.ts";
import { groupByPool, type PoolWorkers } from "./pool_workers.ts";
import { WorkerRecord } from "./worker_record.ts";
import { WorkspaceUsage } from "./workspace_usage.ts";

/** Run ids of a term lie above those of all earlier terms; no task is started so often in one term. */
const RUN_IDS_PER_TERM = 1_000;
/** Weight of the newest task in the mean of durations against estimates. */
const DURATION_RATIO_WEIGHT = 0.1;

/**
 * A stop takes up to 0.9 s on the known sites. The report that shows a run also shuts the earlier owner out, so
 * that no stop of its begins after it.
 */
const EARLIER_STOP_MS = 2_000;
/** A VM that moves between two pages of a list is missing from one list, not from the next one too. */
const LISTS_MISSED_BY_GONE_VM = 2;

/** What is to be done outside. */
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

/** The time of a decision. */
export interface DecisionTime {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** How long a run that an earlier owner may have ordered can go on unseen. */
export interface Takeover {
  /** The revision of the takeover; jobs accepted later were unknown to the earlier owner for the most part. */
  readonly revision: number;
  readonly atMs: number;
  /** How long the earlier owner may have gone on without knowing of the takeover. */
  readonly staleOwnerMs: number;
}

/** Where decisions are told. */
export interface DecisionLog {
  debug(message: string, fields: DecisionFields): void;
  info(message: string, fields: DecisionFields): void;
}

/** What a decision went by; names carry units. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface SchedulerOptions {
  readonly term: number;
  readonly takeover: Takeover;
  readonly log: DecisionLog;
}

/** Jobs, workers and runs of one term. */
export class Scheduler {
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, WorkerRecord>();
  readonly #options: SchedulerOptions;
  readonly #active = new Set<JobRecord>();
  /** Jobs that are over and of which nothing runs; their descriptions are not kept. */
  readonly #retired = new Map<string, schema.scheduling.JobState>();
  readonly #dirty = new Set<JobRecord>();
  readonly #orders: Order[] = [];
  /** The worker that is kept free for each lasting step that found no room. */
  readonly #heldWorkers = new WeakMap<StepRecord, string>();
  readonly #durationRatios = new Map<string, number>();
  readonly #workspaces = new WorkspaceUsage();
  readonly #advice = new AdviceCache();
  readonly #queues = new Map<string, schema.scheduling.Queue>();
  /** True once every worker that may have tasks of an earlier owner has reported or has lapsed. */
  isSettled = false;
  /** The list of VMs names workers whose entries have not been seen. */
  hasUnknownWorkers = false;

  constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  setConfig(config: schema.scheduling.SchedulingConfig): void {
    // Jobs that were accepted on a queue are finished also when it is withdrawn.
    config.queues.forEach((queue) => this.#queues.set(queue.name, queue));
    this.#workspaces.setWorkspaces(config.workspaces);
  }

  queueOf(job: JobRecord): schema.scheduling.Queue | undefined {
    return this.#queues.get(job.job.queue);
  }

  get activeJobs(): ReadonlySet<JobRecord> {
    return this.#active;
  }

  /** Whether the job has been taken in, be it over or not. */
  knowsJob(jobId: string): boolean {
    return this.jobs.has(jobId) || this.#retired.has(jobId);
  }

  /** The final state of a job that is not kept any more. */
  retiredState(jobId: string): schema.scheduling.JobState | undefined {
    return this.#retired.get(jobId);
  }

  /** Keeps no more of a job than its final state. */
  retireJob(jobId: string, finalState: schema.scheduling.JobState): void {
    this.jobs.delete(jobId);
    this.#retired.set(jobId, finalState);
  }

  /** Takes a job in; a known one is left as it is. */
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
  }

  /** Ends a job by its submitter's wish; its runs are stopped. */
  cancelJob(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined && !job.isOver) {
      this.#endJob(job, "cancelled");
    }
  }

  /** Takes in a worker's entry; another start time under the same id means that its runs are gone. */
  putWorker(info: schema.scheduling.WorkerInfo, nowMs: number): WorkerRecord {
    const present = this.workers.get(info.workerId);
    if (present !== undefined && present.info.startedUnixMs === info.startedUnixMs) {
      present.info = info;
      present.isListed = true;
      return present;
    }
    if (present !== undefined) {
      this.dropWorker(present, nowMs, "the worker has started anew");
    }
    const worker = new WorkerRecord(info, nowMs);
    this.workers.set(info.workerId, worker);
    return worker;
  }

  /** Forgets a worker's life: nothing of it runs any more. */
  dropWorker(worker: WorkerRecord, nowMs: number, reason: string): void {
    for (const run of [...worker.runs.values()]) {
      this.#loseRun(run, nowMs, reason);
    }
    if (this.workers.get(worker.info.workerId) === worker) {
      this.workers.delete(worker.info.workerId);
    }
  }

  /**
   * Takes in the platform's list of VMs, which tells at once which workers live. A worker that was known
   * before the list was asked for and isn't up on it is gone, with all that it ran; and once all workers on
   * it have reported, nothing of an earlier owner can be unseen. The pages of a list are not of one moment,
   * so that a VM may be missing from it once.
   */
  applyVmList(
    listed: readonly schema.scheduling.ListedVm[],
    { askedAtMs, nowMs }: { readonly askedAtMs: number; readonly nowMs: number },
  ): void {
    const alive = new Set(
      listed.flatMap(({ state, workerId }) => state === "up" && workerId ? [workerId] : []),
    );
    const listedVms = new Set(listed.map(({ vm }) => vm));
    for (const worker of [...this.workers.values()]) {
      worker.missedListCount = listedVms.has(worker.info.vm) ? 0 : worker.missedListCount + 1;
      const isGone = worker.missedListCount === 0 ||
        worker.missedListCount >= LISTS_MISSED_BY_GONE_VM;
      if (isGone && worker.knownSinceMs < askedAtMs && !alive.has(worker.info.workerId)) {
        this.dropWorker(worker, nowMs, "its VM is down");
      }
    }
    this.hasUnknownWorkers = [...alive].some((id) => !this.workers.has(id));
    const isOfThisTerm = askedAtMs >= this.#options.takeover.atMs;
    if (!this.isSettled && isOfThisTerm && this.#haveAllReported(alive)) {
      this.settle(nowMs, "all workers have reported");
    }
  }

  /** Whether all workers that are up on a list of VMs have reported, and those whose VM it lacks. */
  #haveAllReported(alive: ReadonlySet<string>): boolean {
    return [...alive].every((id) => this.workers.get(id)?.hasReported) &&
      [...this.workers.values()].every((worker) =>
        worker.hasReported || worker.missedListCount === 0
      );
  }

  /** Nothing of an earlier owner can be unseen any more. */
  settle(nowMs: number, reason: string): void {
    this.isSettled = true;
    this.#options.log.info("Takeover settled", {
      waitedMs: Math.round(nowMs - this.#options.takeover.atMs),
      reason,
    });
  }

  /** Gives up the runs of workers whose leases have ended without an answer. */
  expireLeases(nowMs: number): void {
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size > 0 && worker.hasClock && nowMs > worker.leaseExpiryMs()) {
        this.#options.log.info("Lease has ended", {
          worker: worker.info.workerId,
          runs: worker.runs.size,
          leaseUntilWorkerMs: worker.leaseUntilWorkerMs,
          ...worker.clockReading(nowMs),
        });
        for (const run of [...worker.runs.values()]) {
          this.#loseRun(run, nowMs, "the lease has lapsed");
        }
      }
      if (!worker.isListed && worker.runs.size === 0) {
        this.workers.delete(worker.info.workerId);
      }
    }
  }

  /** Takes in all that a worker has, as of a time between the two given. */
  applyReport(worker: WorkerRecord, report: schema.scheduling.WorkerReport, at: {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
  }): void {
    worker.setClock(report.workerClockMs, at.receivedAtMs);
    if (!worker.hasReported) {
      worker.recordPreviousLease();
    }
    const unknownRuns = new Set<string>();
    worker.ends.recordListed(report.ends.at(-1)?.endNumber ?? 0, at.receivedAtMs);
    for (const end of report.ends) {
      if (this.#find(end.task) === undefined && !this.#isOfRetiredJob(end.task)) {
        // The job will come to be known; its end must not be acknowledged before.
        unknownRuns.add(end.task);
        break;
      }
      if (end.endNumber > worker.ends.processed) {
        worker.ends.processed = end.endNumber;
        this.#takeEnd(worker, end, at.receivedAtMs);
      }
    }
    const listed = new Set<string>();
    for (const reported of report.running) {
      listed.add(runKey(reported.task, reported.runId));
      const run = this.#runOf(worker, reported, at.receivedAtMs);
      if (run === undefined) {
        unknownRuns.add(reported.task);
        this.#stopIfStray(worker, reported);
      } else {
        takeReport(run, reported, at.receivedAtMs);
      }
    }
    worker.unknownTasks = unknownRuns;
    for (const run of [...worker.runs.values()]) {
      const isKnownAbsent = (run.verifyAfterMs ?? run.confirmedAtMs ?? Infinity) < at.sentAtMs;
      if (isKnownAbsent && !listed.has(runKey(run.task.name, run.runId))) {
        this.#loseRun(run, at.receivedAtMs, "the worker does not have it");
      }
    }
    worker.hasReported = true;
  }

  #isOfRetiredJob(taskName: string): boolean {
    const place = parseTaskName(taskName);
    return place !== undefined && this.#retired.has(place.jobId);
  }

  /** A job that is over is not kept; a run of it that was started late is stopped by its name alone. */
  #stopIfStray(worker: WorkerRecord, { task, runId }: schema.scheduling.ReportedRun): void {
    if (this.#isOfRetiredJob(task)) {
      this.#orders.push({ kind: "stop-stray", workerId: worker.info.workerId, task, runId });
    }
  }

  /** Takes in the answer to a start. */
  recordStartOutcome(run: Run, outcome: schema.scheduling.OrderOutcome, { nowMs, isRepeated }: {
    readonly nowMs: number;
    /** An earlier try had no answer, so that the run may have existed. */
    readonly isRepeated: boolean;
  }): void {
    const worker = this.workers.get(run.workerId);
    if (worker?.runs.get(runKey(run.task.name, run.runId)) !== run) {
      return;
    }
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
      this.#advice.invalidate(run.step);
    } else if (outcome.reason !== "old" && outcome.reason !== "late") {
      worker.recordFailure(run.step.job.job.jobId, nowMs);
    }
    if (isRepeated) {
      run.verifyAfterMs = nowMs;
    } else {
      this.#loseRun(run, nowMs, `refused: ${outcome.reason}`);
    }
  }

  /** The worker has taken a stop: a run that its next report lacks is gone. */
  recordStopAccepted(run: Run, nowMs: number): void {
    run.verifyAfterMs ??= nowMs;
  }

  /** Stops a run that is to continue elsewhere, such as on a VM due for maintenance. */
  evacuate(run: Run, reason: string): void {
    if (run.state !== "stopping") {
      this.#stop(run, reason);
    }
  }

  recordAdvice(step: StepRecord, tickets: Tickets, untilMs: number): void {
    this.#advice.recordAnswer(step, tickets, untilMs);
  }

  /** Advice could not be had; it is asked for again at the next decision. */
  recordAdviceFailure(step: StepRecord): void {
    this.#advice.recordFailure(step);
  }

  /** Places what is ready, and returns all orders that are due. */
  decide(now: DecisionTime): Order[] {
    this.#place(now);
    for (const { run, percent } of decidePaceChanges(this.workers.values(), now.nowMs)) {
      this.#orders.push({ kind: "pace", run, percent });
    }
    return this.#orders.splice(0);
  }

  /** The jobs whose progress is to be stored, in the order of their first change, within a total cost. */
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

  /** To be stored again, after a failed write. */
  markDirty(job: JobRecord): void {
    this.#dirty.add(job);
  }

  /** Steps whose turn has come, the most urgent first. */
  readySteps({ nowMs, wallMs }: DecisionTime): { step: StepRecord; urgency: order.Urgency }[] {
    const ready: { step: StepRecord; urgency: order.Urgency }[] = [];
    for (const job of this.#active) {
      for (const step of job.readySteps(wallMs)) {
        const queue = this.queueOf(job);
        const view = { queue, durationRatio: this.durationRatio(job.job.queue) };
        const dueMs = job.dueUnixMs(step.occurrence);
        const sinceMs = dueMs === 0 ? job.seenAtMs : nowMs - (wallMs - dueMs);
        const { isOverRate } = job;
        const urgency = order.urgencyOf(step, { view, nowMs, sinceMs, isOverRate });
        ready.push({ step, urgency });
      }
    }
    return ready.sort((a, b) => order.compareUrgency(a.urgency, b.urgency));
  }

  /** How long the tasks of a queue really take, as a multiple of their estimates. */
  durationRatio(queue: string): number {
    return this.#durationRatios.get(queue) ?? 1;
  }

  /** Accepted jobs of a queue of which no task has begun. */
  pendingCount(queue: string): number {
    let count = 0;
    for (const job of this.#active) {
      count += job.job.queue === queue && job.state === "queued" ? 1 : 0;
    }
    return count;
  }

  /** Whether an earlier owner may have a run of the job's tasks that isn't known yet. */
  #mayRunUnseen(job: JobRecord): boolean {
    const { revision, atMs, staleOwnerMs } = this.#options.takeover;
    return !this.isSettled &&
      (job.acceptedRevision <= revision || job.seenAtMs <= atMs + staleOwnerMs);
  }

  /** The jobs whose tasks workers reported before the jobs were known here. */
  #jobsOfUnknownRuns(): Set<string> {
    const jobIds = new Set<string>();
    for (const { unknownTasks: unknownRuns } of this.workers.values()) {
      for (const task of unknownRuns) {
        jobIds.add(parseTaskName(task)?.jobId ?? task);
      }
    }
    return jobIds;
  }

  /**
   * What the tasks that run, or could run shortly, ask of each pool. What a workspace's limit keeps waiting
   * does not count, since more VMs would not start it.
   */
  demandByPool(now: DecisionTime, aheadMs: number): Map<string, schema.scheduling.Resources> {
    const demand = new Map<string, schema.scheduling.Resources>();
    const charge = (pool: string, room: schema.scheduling.Resources, count: number) =>
      demand.set(pool, resources.add(demand.get(pool) ?? resources.NO_RESOURCES, room, count));
    for (const job of this.#active) {
      const pool = this.queueOf(job)?.pool;
      for (const run of pool === undefined ? [] : job.runs()) {
        charge(pool!, run.allocation, 1);
      }
    }
    const planned = new Map<string, schema.scheduling.Resources>();
    for (const { step } of this.readySteps({ ...now, wallMs: now.wallMs + aheadMs })) {
      const { queue, workspace } = step.job.job;
      const pool = this.#queues.get(queue)?.pool;
      const before = planned.get(workspace) ?? this.#workspaces.used(workspace);
      const limit = this.#workspaces.limit(workspace);
      const most = step.waitingTasks().length;
      const count = resources.countWithinLimit(step.spec.resources, { before, limit, most });
      planned.set(workspace, resources.add(before, step.spec.resources, count));
      if (pool !== undefined) {
        charge(pool, resources.allocationOf(step.spec), count);
      }
    }
    return demand;
  }

  /** How many workers the lasting tasks of each pool need at least, where they must be spread. */
  minWorkersByPool(): Map<string, number> {
    const counts = new Map<string, number>();
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

  #place(now: DecisionTime): void {
    const ready = this.readySteps(now);
    if (ready.length === 0) {
      return;
    }
    const pools = groupByPool(this.workers.values(), now.nowMs);
    const reserved = new Set<string>();
    const unseen = this.#jobsOfUnknownRuns();
    for (const { step } of ready) {
      const queue = this.queueOf(step.job);
      const pool = queue && pools.get(queue.pool);
      const mayRun = this.#mayRunUnseen(step.job) || unseen.has(step.job.job.jobId);
      if (queue !== undefined && pool !== undefined && !mayRun) {
        this.#placeStep(step, { pool, reserved, nowMs: now.nowMs, queue });
      }
    }
  }

  #placeStep(step: StepRecord, context: {
    readonly pool: PoolWorkers;
    readonly reserved: Set<string>;
    readonly nowMs: number;
    readonly queue: schema.scheduling.Queue;
  }): void {
    const { pool, reserved, nowMs, queue } = context;
    const { workers } = pool;
    const tickets = queue.advice === undefined ? undefined : this.#advice.ticketsFor(step, nowMs);
    if (queue.advice !== undefined && tickets === undefined) {
      this.#askAdvice(step, workers, nowMs);
      return;
    }
    const waiting = step.waitingTasks();
    if (step.spec.isGang && waiting.length < step.spec.taskCount) {
      return;
    }
    const placed: Run[] = [];
    const runId = step.spec.isGang
      ? Math.max(...step.tasks.map((task) => this.#nextRunId(task)))
      : undefined;
    for (const task of waiting) {
      if (!this.#workspaces.hasCapacity(step.job.job.workspace, step.spec.resources)) {
        break;
      }
      const worker = this.#chooseWorker(task, { step, pool, reserved, nowMs, allowed: tickets });
      if (worker === undefined) {
        this.#reserve({ step, workers, reserved, nowMs, allowed: tickets }, reserved);
        break;
      }
      placed.push(
        this.#addRun(step, task, worker, { runId: runId ?? this.#nextRunId(task), nowMs }),
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

  /** Keeps a worker free for a lasting task that found no room, as it must not wait for long. */
  #reserve(request: EligibilityRequest, reserved: Set<string>): void {
    const { step } = request;
    if (!step.spec.isLasting || step.spec.usesSpareCpu) {
      return;
    }
    const held = this.#heldWorkers.get(step);
    const worker = chooseReservation(request, held);
    if (worker === undefined) {
      return;
    }
    const { workerId } = worker.info;
    reserved.add(workerId);
    if (workerId !== held) {
      this.#heldWorkers.set(step, workerId);
      this.#options.log.info("Worker is kept free for a lasting task", {
        step: step.name,
        worker: workerId,
        freeMillicores: worker.free.cpuMillicores,
        runs: worker.runs.size,
      });
    }
  }

  #askAdvice(step: StepRecord, workers: readonly WorkerRecord[], nowMs: number): void {
    const workerIds = this.#advice.workersToAsk(step, workers, nowMs);
    if (workerIds.length > 0) {
      this.#orders.push({ kind: "advise", step, workerIds });
    }
  }

  #nextRunId(task: TaskRecord): number {
    return Math.max(task.lastRunId, (this.#options.term - 1) * RUN_IDS_PER_TERM) + 1;
  }

  #addRun(step: StepRecord, task: TaskRecord, worker: WorkerRecord, { runId, nowMs }: {
    readonly runId: number;
    readonly nowMs: number;
  }): Run {
    const run: Run = {
      step,
      task,
      runId,
      workerId: worker.info.workerId,
      orderedAtMs: nowMs,
      allocation: resources.allocationOf(step.spec),
      state: "starting",
      confirmedAtMs: undefined,
      verifyAfterMs: undefined,
      percent: 0,
      load: 0,
      pacePercent: 100,
      pacedAtMs: 0,
      mayBeStoppingUntilMs: 0,
    };
    worker.addRun(run);
    task.lastRunId = Math.max(task.lastRunId, runId);
    step.assign(task, run);
    this.#charge(run, 1);
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

  /** The run is over without an end that tells how. */
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

  #takeEnd(worker: WorkerRecord, end: schema.scheduling.ReportedEnd, nowMs: number): void {
    const run = worker.runs.get(runKey(end.task, end.runId));
    if (run !== undefined) {
      this.#removeRun(run, nowMs);
    }
    const found = this.#find(end.task);
    if (found === undefined) {
      return;
    }
    const { job, step, task } = found;
    task.lastRunId = Math.max(task.lastRunId, end.runId);
    if (end.checkpoint !== "") {
      task.checkpoint = end.checkpoint;
    }
    worker.recordEnd(end.kind, job.job.jobId, nowMs);
    // Ends that nobody asked for are rare; all others would be as many lines as there are tasks.
    this.#options.log[end.kind === "done" ? "debug" : "info"]("Run ended", {
      job: job.job.jobId,
      task: end.task,
      run: end.runId,
      worker: worker.info.workerId,
      how: end.kind,
    });
    if (end.kind === "done" && run !== undefined && step.spec.estimateMs > 0) {
      this.#learnDuration(run, nowMs);
    }
    if (step.spec.isLasting || job.isOver) {
      return;
    }
    if (end.kind === "done") {
      this.#takeDone(job, step, task);
    } else if (end.kind === "failed") {
      this.#takeFailure(job, step, task, { runId: end.runId, workerId: worker.info.workerId });
    }
  }

  #takeDone(job: JobRecord, step: StepRecord, task: TaskRecord): void {
    // One end of a gang stands for all of its tasks.
    const done = step.spec.isGang ? step.tasks : [task];
    for (const each of done) {
      step.markDone(each);
      if (each.run !== undefined && !step.spec.isGang) {
        this.#stop(each.run, "another run has done the task");
      }
    }
    this.#dirty.add(job);
    if (job.isAllDone()) {
      this.#endJob(job, "complete");
    }
  }

  #takeFailure(job: JobRecord, step: StepRecord, task: TaskRecord, failed: {
    readonly runId: number;
    readonly workerId: string;
  }): void {
    // A gang fails as a whole; its failures are counted at its first task.
    const counted = step.spec.isGang ? step.tasks[0]! : task;
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
    for (const step of job.occurrences.flat()) {
      this.#advice.invalidate(step);
    }
    for (const run of job.runs()) {
      this.#stop(run, `the job is ${state}`);
    }
    this.#options.log.info("Job over", { job: job.job.jobId, queue: job.job.queue, state });
  }

  #stop(run: Run, reason: string): void {
    run.state = "stopping";
    this.#orders.push({ kind: "stop", run, reason });
  }

  #learnDuration(run: Run, nowMs: number): void {
    const tookMs = nowMs - (run.confirmedAtMs ?? run.orderedAtMs);
    const ratio = tookMs / run.step.spec.estimateMs;
    const queue = run.step.job.job.queue;
    const known = this.#durationRatios.get(queue) ?? 1;
    this.#durationRatios.set(queue, known + DURATION_RATIO_WEIGHT * (Math.min(ratio, 3) - known));
  }

  #find(taskName: string): { job: JobRecord; step: StepRecord; task: TaskRecord } | undefined {
    const place = parseTaskName(taskName);
    const job = place && this.jobs.get(place.jobId);
    const step = place && job?.step(place.occurrence, place.step);
    const task = place && step?.tasks[place.index];
    return job && step && task ? { job, step, task } : undefined;
  }

  /** The run that a worker reports; one that an earlier owner ordered is taken over or stopped. */
  #runOf(
    worker: WorkerRecord,
    reported: schema.scheduling.ReportedRun,
    nowMs: number,
  ): Run | undefined {
    const known = worker.runs.get(runKey(reported.task, reported.runId));
    if (known !== undefined) {
      return known;
    }
    const found = this.#find(reported.task);
    if (found === undefined) {
      return undefined;
    }
    const { job, step, task } = found;
    const isWanted = !job.isOver && !task.isDone && task.run === undefined;
    const run = this.#addRun(step, task, worker, { runId: reported.runId, nowMs });
    run.mayBeStoppingUntilMs = nowMs + EARLIER_STOP_MS;
    if (isWanted) {
      job.state = "active";
    } else {
      this.#stop(run, "it is not wanted any more");
    }
    this.#options.log.info(isWanted ? "Run taken over" : "Unwanted run found", {
      job: job.job.jobId,
      task: task.name,
      run: run.runId,
      worker: worker.info.workerId,
    });
    return run;
  }
}

function takeReport(run: Run, reported: schema.scheduling.ReportedRun, nowMs: number): void {
  run.confirmedAtMs ??= nowMs;
  run.state = run.state === "starting" ? "running" : run.state;
  run.percent = reported.percent;
  run.load = reported.load;
  if (reported.checkpoint !== "" && run.task.run === run) {
    run.task.checkpoint = reported.checkpoint;
  }
}

/** A label that the workers of the step's other runs share; workers name their rack last. */
function rackOf(
  step: StepRecord,
  workers: ReadonlyMap<string, WorkerRecord>,
): string | undefined {
  const run = step.tasks.find((task) => task.run !== undefined)?.run;
  return run === undefined ? undefined : workers.get(run.workerId)?.info.labels.at(-1);
}
