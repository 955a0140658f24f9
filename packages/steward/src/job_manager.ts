/**
 * Jobs: accepts them, places them on workers, follows their tasks.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { JobPlacer } from "./job_placer.ts";
import type { JobSegments } from "./job_segments.ts";
import type { Round } from "./round.ts";
import type { WorkerManager } from "./worker_manager.ts";

/** A job id that another team or another specification has taken; nothing was changed. */
export const JobConflictError = schema.errors.ConflictError.subclass("JobConflictError");
/** No job of that id belongs to the team. */
export const JobNotFoundError = schema.errors.JackdawlinkError.subclass("JobNotFoundError");

type Job = schema.fleet.JobRecord;
type JobResult = Result<Job, schema.errors.JackdawlinkError>;

/** The subject by which a steward is chosen to place jobs. */
export const JOBS_SUBJECT = "jobs";
/** A worker that is missing or down for this long has lost its tasks. */
const WORKER_LOST_AFTER_MS = 10_000;

/** What the manager works with. */
export interface JobManagerOptions {
  readonly segments: JobSegments;
  readonly placer: JobPlacer;
  readonly workers: WorkerManager;
  readonly platform: ports.platform.Platform;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
  readonly maxPlacementsPerRound: number;
}

/** Owns the jobs. */
export class JobManager {
  readonly #options: JobManagerOptions;
  readonly #sizes = new policy.fleet.sizeEstimates.SizeEstimates();
  /** When each worker was first seen missing or down. */
  readonly #missingSinceMs = new Map<string, number>();
  #isStale = true;

  constructor(options: JobManagerOptions) {
    this.#options = options;
  }

  /** Something below the jobs' prefix changed. */
  markStale(): void {
    this.#isStale = true;
  }

  /** Stores a job; the result comes once it is durable. The same submission again changes nothing. */
  submit(team: string, { jobId, spec }: { jobId: string; spec: schema.fleet.JobSpec }): Promise<
    JobResult
  > {
    const submittedAtMs = this.#options.clock.wallMs();
    const fresh: Job = {
      jobId,
      team,
      spec,
      state: "waiting",
      attempt: 0,
      cancelRequested: false,
      submittedAtMs,
    };
    return this.#options.segments.update({
      jobId,
      apply: (job) => {
        if (job === undefined) {
          return ok(fresh);
        }
        const isSame = job.team === team && JSON.stringify(job.spec) === JSON.stringify(spec);
        return isSame ? ok(job) : err(new JobConflictError(`Job id ${jobId} is taken`));
      },
    });
  }

  /** The state of a team's job. */
  async get(team: string, jobId: string): Promise<JobResult> {
    const found = await this.#options.segments.get(jobId);
    return found.andThen((job) => ownJob(job, { team, jobId }));
  }

  /** The state of any job, for operators. */
  find(jobId: string): Promise<Result<Job | undefined, schema.errors.JackdawlinkError>> {
    return this.#options.segments.get(jobId);
  }

  /** Cancels a team's job: at once while it waits, otherwise once its task is stopped. */
  cancel(team: string, jobId: string): Promise<JobResult> {
    const endedAtMs = this.#options.clock.wallMs();
    return this.#options.segments.update({
      jobId,
      apply: (stored) =>
        ownJob(stored, { team, jobId }).map((job) => {
          if (job.state === "waiting") {
            const reason = "The submitter cancelled the job";
            return { ...job, state: "cancelled", endedAtMs, reason };
          }
          return job.state === "placed" ? { ...job, cancelRequested: true } : job;
        }),
    });
  }

  /** One round: follows the tasks and places waiting jobs, if this steward is the placer. */
  async step(round: Round): Promise<void> {
    const { placer, segments, platform } = this.#options;
    if (!round.actsFor(JOBS_SUBJECT)) {
      placer.drop();
      return;
    }
    const isNew = placer.revision === undefined;
    if (isNew && !await placer.take()) {
      return;
    }
    if (isNew || this.#isStale) {
      this.#isStale = false;
      const read = await segments.readAll();
      if (read.isErr()) {
        this.#isStale = true;
        placer.drop();
        return;
      }
    }
    const listed = await platform.listWorkers();
    if (listed.isOk()) {
      await this.#followTasks(listed.value);
      await this.#place(listed.value, round);
    }
  }

  async #followTasks(workers: readonly ports.platform.ListedWorker[]): Promise<void> {
    const byName = new Map(workers.map((worker) => [worker.worker, worker]));
    const placed = [...this.#options.segments.jobs()].filter((job) => job.state === "placed");
    await Promise.all(placed.map((job) => this.#follow(job, byName.get(job.worker ?? ""))));
  }

  async #follow(job: Job, worker: ports.platform.ListedWorker | undefined): Promise<void> {
    const taskId = policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt);
    const task = worker?.tasks.find((each) => each.taskId === taskId);
    if (this.#isWorkerLost(job.worker ?? "", worker)) {
      await this.#end(job, "worker-lost");
      return;
    }
    if (worker === undefined || worker.state === "down") {
      return;
    }
    if (task !== undefined && task.state !== "running") {
      const isCheckpointed = task.state === "stopped" && task.checkpointed;
      await this.#end(job, isCheckpointed ? "checkpointed" : task.state);
      return;
    }
    if (job.cancelRequested) {
      await this.#stop(job, worker.worker);
      return;
    }
    if (task === undefined) {
      await this.#start(job, worker.worker);
      return;
    }
    await this.#leaveWorker(job, { worker, task });
  }

  /** A task that can checkpoint leaves a worker that is going; others run to their end. */
  async #leaveWorker(
    job: Job,
    { worker, task }: { worker: ports.platform.ListedWorker; task: ports.platform.ListedTask },
  ): Promise<void> {
    const declared = { cores: job.spec.cores, memoryMb: job.spec.memoryMb };
    const used = { cores: task.usedCores, memoryMb: task.usedMemoryMb };
    if (used.cores > 0 && used.memoryMb > 0) {
      this.#sizes.observe(groupOf(job), { declared, used });
    }
    if (worker.state !== "leaving" || !job.spec.repeatable) {
      return;
    }
    if (task.checkpointed) {
      await this.#stop(job, worker.worker);
    } else {
      await this.#options.platform.checkpointTask(worker.worker, task.taskId);
    }
  }

  async #stop(job: Job, worker: string): Promise<void> {
    const taskId = policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt);
    const outcome = await this.#options.platform.stopTask(worker, taskId);
    if (outcome.isOk() && outcome.value !== "stopped") {
      await this.#end(job, outcome.value);
    }
  }

  /** The platform starts a task id once, and never after it was told to stop it. */
  async #start(job: Job, worker: string): Promise<void> {
    const { cores, memoryMb, accelerators, runMs } = job.spec;
    const taskId = policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt);
    const spec = { taskId, team: job.team, cores, memoryMb, accelerators, runMs };
    const started = await this.#options.platform.startTask(worker, spec);
    if (started.isErr() && started.error instanceof schema.errors.StaleOperationError) {
      await this.#stop(job, worker);
    }
  }

  async #end(job: Job, end: policy.fleet.taskIds.AttemptEnd): Promise<void> {
    const { segments, decisions, workers, clock } = this.#options;
    const after = policy.fleet.taskIds.afterAttempt(job, end);
    const endedAtMs = after.state === "waiting" ? undefined : clock.wallMs();
    const result = await segments.update({
      jobId: job.jobId,
      placerRevision: this.#options.placer.revision,
      apply: (stored) =>
        stored?.state === "placed" && stored.attempt === job.attempt
          ? ok({ ...stored, ...after, endedAtMs })
          : err(new JobConflictError(`Attempt ${job.attempt} is over already`)),
    });
    if (result.isErr()) {
      return;
    }
    const { jobId, worker = "", attempt } = job;
    decisions.add("Task ended", [jobId, worker], { attempt, end, ...after });
    if (end === "succeeded" || end === "failed") {
      await workers.add({ worker, jobId, succeeded: end === "succeeded" });
    }
  }

  async #place(
    listed: readonly ports.platform.ListedWorker[],
    round: Round,
  ): Promise<void> {
    const { segments, clock, maxPlacementsPerRound } = this.#options;
    const jobs = [...segments.jobs()];
    const placed = jobs.filter((job) => job.state === "placed");
    const waiting = jobs.filter((job) => job.state === "waiting");
    if (waiting.length === 0) {
      return;
    }
    const taken = placed.map((job) => ({ ...this.#sizeOf(job), worker: job.worker ?? "" }));
    const decided = policy.fleet.placement.placeRound({
      jobs: waiting.map((job) => ({ ...job, ...job.spec, size: this.#sizeOf(job) })),
      workers: this.#options.workers.placementWorkers(listed, taken),
      teams: teamsOf(round.config, { placed, listed }),
      nowMs: clock.wallMs(),
      maxPlacements: maxPlacementsPerRound,
    });
    await Promise.all([
      ...decided.placements.map((placement) => this.#commitPlacement(placement)),
      ...decided.refusals.map((refusal) => this.#commitRefusal(refusal)),
    ]);
  }

  async #commitPlacement(
    { jobId, worker }: policy.fleet.placement.Placement,
  ): Promise<void> {
    const { segments, placer, decisions } = this.#options;
    if (placer.revision === undefined) {
      return;
    }
    let attempt: number | undefined;
    const result = await segments.update({
      jobId,
      placerRevision: placer.revision,
      apply: (job) => {
        const isOurs = job?.state === "placed" && job.attempt === attempt;
        if (job?.state !== "waiting" && !isOurs) {
          return err(new JobConflictError(`Job ${jobId} is not waiting any more`));
        }
        attempt = isOurs ? job.attempt : job.attempt + 1;
        return ok({ ...job, state: "placed", worker, attempt, reason: undefined });
      },
    });
    if (result.isErr()) {
      placer.drop();
      return;
    }
    decisions.add("Job placed", [jobId, worker], { worker, attempt, team: result.value.team });
    await this.#start(result.value, worker);
  }

  async #commitRefusal({ jobId, reason }: policy.fleet.placement.Refusal): Promise<void> {
    const { segments, decisions, clock } = this.#options;
    const endedAtMs = clock.wallMs();
    const result = await segments.update({
      jobId,
      apply: (job) =>
        job?.state === "waiting"
          ? ok({ ...job, state: "refused", reason, endedAtMs })
          : err(new JobConflictError(`Job ${jobId} is not waiting any more`)),
    });
    if (result.isOk()) {
      decisions.add("Job refused", [jobId], { reason });
    }
  }

  /** The declared size corrected by what similar jobs used; never above what was declared by much. */
  #sizeOf(job: Job): policy.fleet.workersIndex.TaskSize {
    const { cores, memoryMb, accelerators } = job.spec;
    return { ...this.#sizes.estimate(groupOf(job), { cores, memoryMb }), accelerators };
  }

  #isWorkerLost(name: string, worker: ports.platform.ListedWorker | undefined): boolean {
    if (worker !== undefined && worker.state !== "down") {
      this.#missingSinceMs.delete(name);
      return false;
    }
    const nowMs = this.#options.clock.nowMs();
    const sinceMs = this.#missingSinceMs.get(name) ?? nowMs;
    this.#missingSinceMs.set(name, sinceMs);
    return nowMs - sinceMs > WORKER_LOST_AFTER_MS;
  }
}

/** Jobs of one team with the same declared size are taken to be alike. */
function groupOf({ team, spec }: Job): string {
  return `${team}/${spec.cores}/${spec.memoryMb}`;
}

/** A job that belongs to the team; that of another team looks as if it did not exist. */
function ownJob(job: Job | undefined, { team, jobId }: { team: string; jobId: string }): JobResult {
  return job?.team === team ? ok(job) : err(new JobNotFoundError(`There is no job ${jobId}`));
}

/** Each team's weight, which is the sum of its shares, its limit and its running tasks. */
function teamsOf(
  config: schema.config.Config,
  { placed, listed }: {
    placed: readonly Job[];
    listed: readonly ports.platform.ListedWorker[];
  },
): ReadonlyMap<string, policy.fleet.placement.PlacementTeam> {
  const workers = new Map(listed.map((worker) => [worker.worker, worker]));
  const teams = new Map<string, { running: number; racks: Map<string, number> }>();
  for (const { team, worker } of placed) {
    const counts = teams.get(team) ?? { running: 0, racks: new Map() };
    const on = workers.get(worker ?? "");
    const rack = on === undefined ? "" : policy.fleet.placement.rackKey(on);
    counts.running += 1;
    counts.racks.set(rack, (counts.racks.get(rack) ?? 0) + 1);
    teams.set(team, counts);
  }
  const weights = new Map<string, number>();
  const limits = new Map<string, number>();
  for (const { team, weight } of Object.values(config.shares)) {
    weights.set(team, (weights.get(team) ?? 0) + weight);
  }
  for (const { team, maxRunningTasks = Number.POSITIVE_INFINITY } of Object.values(config.limits)) {
    limits.set(team, Math.min(limits.get(team) ?? Number.POSITIVE_INFINITY, maxRunningTasks));
  }
  return new Map(
    Object.keys(config.teams).map((team) => [team, {
      weight: weights.get(team) ?? 1,
      maxRunningTasks: limits.get(team),
      running: teams.get(team)?.running ?? 0,
      runningByRack: teams.get(team)?.racks,
    }]),
  );
}
