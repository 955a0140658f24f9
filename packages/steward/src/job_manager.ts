/**
 * Accepts jobs, places them on workers and reconciles their tasks with the platform.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import { JobPlacement } from "./job_placement.ts";
import type { PlacerElection } from "./placer_election.ts";
import { JobConflictError, type JobSegments } from "./job_segments.ts";
import { JobSizes } from "./job_sizes.ts";
import type { Round } from "./round.ts";
import { TaskReconciler } from "./task_reconciler.ts";
import type { WorkerManager } from "./worker_manager.ts";

/** The team has no job with this id. */
export const JobNotFoundError = schema.errors.JackdawlinkError.subclass("JobNotFoundError");

type Job = schema.fleet.JobRecord;
type JobResult = Result<Job, schema.errors.JackdawlinkError>;

/** The subject whose assigned steward places jobs. */
export const JOBS_SUBJECT = "jobs";

/** Dependencies and settings of a `JobManager`. */
export interface JobManagerOptions {
  readonly segments: JobSegments;
  readonly placer: PlacerElection;
  readonly workers: WorkerManager;
  readonly platform: ports.platform.Platform;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
  readonly maxPlacementsPerRound: number;
}

/** Manages jobs from submission to their end. */
export class JobManager {
  readonly #options: JobManagerOptions;
  readonly #reconciler: TaskReconciler;
  readonly #placement: JobPlacement;
  #isStale = true;

  constructor(options: JobManagerOptions) {
    this.#options = options;
    const sizes = new JobSizes();
    const reconciler = new TaskReconciler({ ...options, sizes });
    this.#reconciler = reconciler;
    this.#placement = new JobPlacement({ ...options, sizes, reconciler });
  }

  /** Makes the next round read all jobs again. */
  markStale(): void {
    this.#isStale = true;
  }

  /** Stores a job; resolves once it is durable. A repeated identical submission changes nothing. */
  submit(team: string, { jobId, spec }: { jobId: string; spec: schema.fleet.JobSpec }): Promise<
    JobResult
  > {
    const submittedAtMs = this.#options.clock.wallMs();
    const newJob: Job = {
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
          return ok(newJob);
        }
        const isSame = job.team === team && JSON.stringify(job.spec) === JSON.stringify(spec);
        return isSame ? ok(job) : err(new JobConflictError(`Job id ${jobId} is taken`));
      },
    });
  }

  /** Reads a team's job from the store. */
  async get(team: string, jobId: string): Promise<JobResult> {
    const found = await this.#options.segments.get(jobId);
    return found.andThen((job) => requireOwnJob(job, { team, jobId }));
  }

  /** Reads the job of any team, for operators; undefined if there is none. */
  find(jobId: string): Promise<Result<Job | undefined, schema.errors.JackdawlinkError>> {
    return this.#options.segments.get(jobId);
  }

  /** Cancels a team's job: immediately if it is waiting, otherwise once its task is stopped. */
  cancel(team: string, jobId: string): Promise<JobResult> {
    const endedAtMs = this.#options.clock.wallMs();
    return this.#options.segments.update({
      jobId,
      apply: (stored) =>
        requireOwnJob(stored, { team, jobId }).map((job) => {
          if (job.state === "waiting") {
            const reason = "The submitter cancelled the job";
            return { ...job, state: "cancelled", endedAtMs, reason };
          }
          return job.state === "placed" ? { ...job, cancelRequested: true } : job;
        }),
    });
  }

  /** One round: reconciles tasks and places waiting jobs, if this steward is the placer. */
  async step(round: Round): Promise<void> {
    const { placer, segments, platform, decisions } = this.#options;
    if (!round.isAssigned(JOBS_SUBJECT)) {
      placer.invalidate();
      return;
    }
    const isNew = placer.revision === undefined;
    if (isNew && !await placer.acquire()) {
      return;
    }
    if (isNew || this.#isStale) {
      this.#isStale = false;
      const read = await segments.readAll();
      if (read.isErr()) {
        this.#isStale = true;
        placer.invalidate();
        return;
      }
    }
    if (!hasUnfinishedJobs(segments)) {
      return;
    }
    const listed = await platform.listWorkers();
    if (listed.isErr()) {
      decisions.add("Jobs put off", [JOBS_SUBJECT], { reason: listed.error.message });
      return;
    }
    await this.#reconciler.step(listed.value);
    await this.#placement.step(listed.value, round);
  }
}

/** Returns the job if it belongs to the team; a job of another team is reported as not found. */
function requireOwnJob(
  job: Job | undefined,
  { team, jobId }: { team: string; jobId: string },
): JobResult {
  return job?.team === team ? ok(job) : err(new JobNotFoundError(`There is no job ${jobId}`));
}

/** Whether any job is waiting or placed; if not, a round can skip the long list of workers. */
function hasUnfinishedJobs(segments: JobSegments): boolean {
  for (const { state } of segments.jobs()) {
    if (state === "waiting" || state === "placed") {
      return true;
    }
  }
  return false;
}
