/**
 * Places waiting jobs on workers. Each placement is stored before its task is started.
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
import type { Round } from "./round.ts";
import type { TaskReconciler } from "./task_reconciler.ts";
import type { WorkerManager } from "./worker_manager.ts";

type Job = schema.fleet.JobRecord;

/** Dependencies and settings of a `JobPlacement`. */
export interface JobPlacementOptions {
  readonly segments: JobSegments;
  readonly placer: PlacerElection;
  readonly workers: WorkerManager;
  readonly sizes: JobSizes;
  readonly reconciler: TaskReconciler;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
  readonly maxPlacementsPerRound: number;
}

/** Stores the placements and refusals that the placement policy decides on. */
export class JobPlacement {
  readonly #options: JobPlacementOptions;

  constructor(options: JobPlacementOptions) {
    this.#options = options;
  }

  /** Places or refuses the waiting jobs, given the workers that the platform listed. */
  async step(
    listed: readonly ports.platform.ListedWorker[],
    round: Round,
  ): Promise<void> {
    const { segments, clock, sizes, maxPlacementsPerRound } = this.#options;
    const jobs = [...segments.jobs()];
    const placed = jobs.filter((job) => job.state === "placed");
    const waiting = jobs.filter((job) => job.state === "waiting");
    if (waiting.length === 0) {
      return;
    }
    const occupied = placed.map((job) => ({ ...sizes.sizeOf(job), worker: job.worker ?? "" }));
    const decision = policy.fleet.placement.placeRound({
      jobs: waiting.map((job) => ({ ...job, ...job.spec, size: sizes.sizeOf(job) })),
      workers: this.#options.workers.placementWorkers(listed, occupied),
      teams: teamsOf(round.config, { placed, listed }),
      nowMs: clock.wallMs(),
      maxPlacements: maxPlacementsPerRound,
    });
    await Promise.all([
      ...decision.placements.map((placement) => this.#commitPlacement(placement)),
      ...decision.refusals.map((refusal) => this.#commitRefusal(refusal)),
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
        const isOwnWrite = job?.state === "placed" && job.attempt === attempt;
        if (job?.state !== "waiting" && !isOwnWrite) {
          return err(new JobConflictError(`Job ${jobId} is not waiting any more`));
        }
        attempt = isOwnWrite ? job.attempt : job.attempt + 1;
        return ok({ ...job, state: "placed", worker, attempt, reason: undefined });
      },
    });
    if (result.isErr()) {
      placer.invalidate();
      return;
    }
    decisions.add("Job placed", [jobId, worker], { worker, attempt, team: result.value.team });
    await this.#options.reconciler.start(result.value, worker);
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
}

/**
 * The teams as placement sees them: the sum of the weights of their shares, their lowest limit, and
 * their running tasks, in total and by rack.
 */
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
    const host = workers.get(worker ?? "");
    const rack = host === undefined ? "" : policy.fleet.placement.rackKey(host);
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
