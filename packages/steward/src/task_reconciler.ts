/**
 * Reconciles placed jobs with the tasks on the platform: starts and stops tasks, and records how
 * they ended.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { PlacerElection } from "./placer_election.ts";
import { JobConflictError, type JobSegments } from "./job_segments.ts";
import type { JobSizes } from "./job_sizes.ts";
import type { WorkerManager } from "./worker_manager.ts";

type Job = schema.fleet.JobRecord;

/** The tasks of a worker that is missing or down for longer than this count as lost. */
const WORKER_LOST_AFTER_MS = 10_000;
/** The longest time until the platform's list shows a change in the resource usage of a task. */
const USAGE_LAG_MS = 15_000;

/** Dependencies of a `TaskReconciler`. */
export interface TaskReconcilerOptions {
  readonly segments: JobSegments;
  readonly placer: PlacerElection;
  readonly workers: WorkerManager;
  readonly sizes: JobSizes;
  readonly platform: ports.platform.Platform;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
}

/** Reconciles tasks. Its state is kept in memory only; a new placer starts without it. */
export class TaskReconciler {
  readonly #options: TaskReconcilerOptions;
  /** When each worker was first seen missing or down. */
  readonly #missingSinceMs = new Map<string, number>();
  /** The last action taken on each running task because of its resource usage, by task id. */
  readonly #overuseActions = new Map<
    string,
    { readonly last: policy.fleet.sizeEstimates.OveruseAction; readonly atMs: number }
  >();

  constructor(options: TaskReconcilerOptions) {
    this.#options = options;
  }

  /** Reconciles the tasks of all placed jobs with the listed workers. */
  async step(workers: readonly ports.platform.ListedWorker[]): Promise<void> {
    const byName = new Map(workers.map((worker) => [worker.worker, worker]));
    const placed = [...this.#options.segments.jobs()].filter((job) => job.state === "placed");
    await Promise.all(placed.map((job) => this.#reconcile(job, byName.get(job.worker ?? ""))));
  }

  async #reconcile(job: Job, worker: ports.platform.ListedWorker | undefined): Promise<void> {
    const taskId = policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt);
    const task = worker?.tasks.find((each) => each.taskId === taskId);
    if (this.#isWorkerLost(job.worker ?? "", worker)) {
      await this.#recordEnd(job, "worker-lost");
      return;
    }
    if (worker === undefined || worker.state === "down") {
      return;
    }
    if (task !== undefined && task.state !== "running") {
      const isCheckpointed = task.state === "stopped" && task.checkpointed;
      await this.#recordEnd(job, isCheckpointed ? "checkpointed" : task.state);
      return;
    }
    if (job.cancelRequested) {
      await this.#stop(job, worker.worker);
      return;
    }
    if (task === undefined) {
      await this.start(job, worker.worker);
      return;
    }
    await this.#checkUsage(job, { worker: worker.worker, task });
    await this.#evacuate(job, { worker, task });
  }

  /** Updates the size estimate for similar jobs, and acts on a task that exceeds its allotment. */
  async #checkUsage(
    job: Job,
    { worker, task }: { worker: string; task: ports.platform.ListedTask },
  ): Promise<void> {
    const { sizes, platform, clock, decisions } = this.#options;
    const used = { cores: task.usedCores, memoryMb: task.usedMemoryMb };
    if (used.cores > 0 && used.memoryMb > 0) {
      sizes.observe(job, used);
    }
    const nowMs = clock.steadyMs();
    const { taskId, checkpointed } = task;
    const before = this.#overuseActions.get(taskId) ?? { last: "none" as const, atMs: nowMs };
    const action = policy.fleet.sizeEstimates.overuseAction(
      { allotted: sizes.allotted(job), used, checkpointed, repeatable: job.spec.repeatable },
      { last: before.last, sinceLastMs: nowMs - before.atMs, lagMs: USAGE_LAG_MS },
    );
    this.#overuseActions.set(taskId, before);
    if (action === "none") {
      return;
    }
    this.#overuseActions.set(taskId, { last: action, atMs: nowMs });
    decisions.add("Task uses too much", [job.jobId, worker], { taskId, action, ...used });
    const handlers = {
      throttle: () => platform.throttleTask(worker, taskId, job.spec.cores),
      checkpoint: () => platform.checkpointTask(worker, taskId),
      stop: () => platform.stopTask(worker, taskId),
    };
    await handlers[action]();
  }

  /**
   * Checkpoints and stops a repeatable task on a worker that is leaving; others run to their end.
   */
  async #evacuate(
    job: Job,
    { worker, task }: { worker: ports.platform.ListedWorker; task: ports.platform.ListedTask },
  ): Promise<void> {
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
      await this.#recordEnd(job, outcome.value);
    }
  }

  /**
   * Starts a job's task. Idempotent: the platform starts a task id at most once, never after a
   * stop.
   */
  async start(job: Job, worker: string): Promise<void> {
    const { cores, memoryMb, accelerators, runMs } = job.spec;
    const taskId = policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt);
    const spec = { taskId, team: job.team, cores, memoryMb, accelerators, runMs };
    const started = await this.#options.platform.startTask(worker, spec);
    if (started.isErr() && started.error instanceof schema.errors.StaleOperationError) {
      await this.#stop(job, worker);
    }
  }

  async #recordEnd(job: Job, end: policy.fleet.taskIds.AttemptEnd): Promise<void> {
    const { segments, decisions, workers, clock } = this.#options;
    this.#overuseActions.delete(policy.fleet.taskIds.taskIdOf(job.jobId, job.attempt));
    const after = policy.fleet.taskIds.jobStateAfterAttempt(job, end);
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
      // Another steward may have taken over the placer record; the next round acquires it again.
      this.#options.placer.invalidate();
      return;
    }
    const { jobId, worker = "", attempt } = job;
    decisions.add("Task ended", [jobId, worker], { attempt, end, ...after });
    if (end === "succeeded" || end === "failed") {
      await workers.recordTaskEnd({ worker, jobId, succeeded: end === "succeeded" });
    }
  }

  #isWorkerLost(name: string, worker: ports.platform.ListedWorker | undefined): boolean {
    if (worker !== undefined && worker.state !== "down") {
      this.#missingSinceMs.delete(name);
      return false;
    }
    const nowMs = this.#options.clock.steadyMs();
    const sinceMs = this.#missingSinceMs.get(name) ?? nowMs;
    this.#missingSinceMs.set(name, sinceMs);
    return nowMs - sinceMs > WORKER_LOST_AFTER_MS;
  }
}
