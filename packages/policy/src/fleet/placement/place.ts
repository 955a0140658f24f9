/**
 * Placement: decides in rounds which waiting jobs start on which workers.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as workersIndex from "./workers_index.ts";

/** A waiting job with its estimated size. */
export interface WaitingJob {
  readonly jobId: string;
  readonly team: string;
  readonly urgency: schema.config.Urgency;
  readonly size: workersIndex.TaskSize;
  readonly runMs: number;
  readonly submittedAtMs: number;
  readonly deadlineAtMs?: number;
}

/** A worker that jobs can be placed on. `usable` is false if it is draining or quarantined. */
export interface PlacementWorker extends workersIndex.WorkerCapacity {
  readonly total: workersIndex.TaskSize;
  readonly usable: boolean;
}

/** The weight, limit and running tasks of a team. */
export interface PlacementTeam {
  readonly weight: number;
  readonly maxRunningTasks?: number;
  readonly running: number;
  /** The number of running tasks by {@link rackKey}, used to spread a team over racks. */
  readonly runningByRack?: ReadonlyMap<string, number>;
}

/** A job and the worker that it is placed on. */
export interface Placement {
  readonly jobId: string;
  readonly worker: string;
}

/** A job that is too large for every worker. */
export interface Refusal {
  readonly jobId: string;
  readonly reason: string;
}

/** The decisions of a placement round. */
export interface PlacementRound {
  readonly placements: readonly Placement[];
  readonly refusals: readonly Refusal[];
}

/** A background job that has waited this long is treated as normal. */
const BACKGROUND_AGING_MS = 600_000;

/**
 * The fraction of all cores that is reserved for urgent jobs, so that they don't have to wait for a
 * task to end.
 */
const URGENT_RESERVE_RATIO = 0.03;
/** With fewer workers, a reserve could prevent a large job from ever starting. */
const MIN_WORKERS_FOR_RESERVE = 20;

const URGENCY_RANK: Readonly<Record<schema.config.Urgency, number>> = {
  urgent: 0,
  normal: 1,
  background: 2,
};

/**
 * Runs one placement round. The order is by urgency, then by the ratio of running tasks to weight
 * of the team, and within a team by the latest start that meets the deadline. A team at its limit
 * gets no placements.
 */
export function placeRound(input: {
  readonly jobs: readonly WaitingJob[];
  readonly workers: readonly PlacementWorker[];
  readonly teams: ReadonlyMap<string, PlacementTeam>;
  readonly nowMs: number;
  readonly maxPlacements: number;
}): PlacementRound {
  const { schedulable, refusals } = partitionSchedulable(input.jobs, input.workers);
  const index = new workersIndex.WorkersIndex(
    input.workers.filter((worker) => worker.usable).map(freeCapacityOf),
  );
  const running = new Map<string, number>();
  const placedByRack = new Map<string, number>();
  const placements: Placement[] = [];
  let freeCores = coresAboveReserve(input.workers);
  for (const [rank, queues] of queuesByRank(schedulable, input.nowMs).entries()) {
    const openTeams = new Set(queues.keys());
    while (openTeams.size > 0 && placements.length < input.maxPlacements) {
      const team = leastServedTeam(openTeams, { teams: input.teams, running });
      const job = queues.get(team)?.shift();
      if (job === undefined || isAtLimit(team, { teams: input.teams, running })) {
        openTeams.delete(team);
        continue;
      }
      if (rank > URGENCY_RANK.urgent && job.size.cores > freeCores) {
        continue;
      }
      const worker = index.allocate(
        job.size,
        (each) =>
          (placedByRack.get(teamRackKey(team, each)) ?? 0) +
          (input.teams.get(team)?.runningByRack?.get(rackKey(each)) ?? 0),
      );
      if (worker === undefined) {
        continue;
      }
      freeCores -= job.size.cores;
      placements.push({ jobId: job.jobId, worker: worker.worker });
      running.set(team, (running.get(team) ?? 0) + 1);
      placedByRack.set(
        teamRackKey(team, worker),
        (placedByRack.get(teamRackKey(team, worker)) ?? 0) + 1,
      );
    }
  }
  return { placements, refusals };
}

/** The free cores that are available to all non-urgent jobs together. */
function coresAboveReserve(workers: readonly PlacementWorker[]): number {
  const usable = workers.filter((worker) => worker.usable);
  if (usable.length < MIN_WORKERS_FOR_RESERVE) {
    return Number.POSITIVE_INFINITY;
  }
  const freeCores = usable.reduce((sum, worker) => sum + worker.cores, 0);
  const totalCores = usable.reduce((sum, worker) => sum + worker.total.cores, 0);
  return freeCores - totalCores * URGENT_RESERVE_RATIO;
}

/** Separates jobs that fit an empty worker from jobs that are too large for every worker. */
function partitionSchedulable(
  jobs: readonly WaitingJob[],
  workers: readonly PlacementWorker[],
): { schedulable: readonly WaitingJob[]; refusals: readonly Refusal[] } {
  const totals = new Map(workers.map(({ total }) => [JSON.stringify(total), total]));
  const schedulable: WaitingJob[] = [];
  const refusals: Refusal[] = [];
  for (const job of jobs) {
    const isSchedulable = totals.size === 0 ||
      [...totals.values()].some((total) => workersIndex.fits(job.size, total));
    if (isSchedulable) {
      schedulable.push(job);
    } else {
      const { cores, memoryMb, accelerators } = job.size;
      const reason =
        `No worker has ${cores} cores, ${memoryMb} MB and ${accelerators} accelerators together`;
      refusals.push({ jobId: job.jobId, reason });
    }
  }
  return { schedulable, refusals };
}

/** The queues of the teams for each urgency rank, ordered by the latest possible start. */
function queuesByRank(
  jobs: readonly WaitingJob[],
  nowMs: number,
): readonly Map<string, WaitingJob[]>[] {
  const ranks: Map<string, WaitingJob[]>[] = [new Map(), new Map(), new Map()];
  for (const job of [...jobs].sort(compareJobs)) {
    const isAged = nowMs - job.submittedAtMs > BACKGROUND_AGING_MS;
    const rank = URGENCY_RANK[job.urgency] - Number(isAged && job.urgency === "background");
    const queues = ranks[rank] ?? new Map<string, WaitingJob[]>();
    const queue = queues.get(job.team) ?? [];
    queue.push(job);
    queues.set(job.team, queue);
  }
  return ranks;
}

/** Orders jobs by their latest possible start, then by the longest wait. */
function compareJobs(left: WaitingJob, right: WaitingJob): number {
  const leftStartMs = (left.deadlineAtMs ?? Number.MAX_SAFE_INTEGER) - left.runMs;
  const rightStartMs = (right.deadlineAtMs ?? Number.MAX_SAFE_INTEGER) - right.runMs;
  const hasDeadline = left.deadlineAtMs !== undefined || right.deadlineAtMs !== undefined;
  return (hasDeadline ? leftStartMs - rightStartMs : 0) || left.submittedAtMs - right.submittedAtMs;
}

/** The running tasks of teams. */
interface TeamCounts {
  readonly teams: ReadonlyMap<string, PlacementTeam>;
  /** The number of placements in this round, by team. */
  readonly running: ReadonlyMap<string, number>;
}

/** The number of running tasks of a team, including the placements of this round. */
function runningOf(team: string, { teams, running }: TeamCounts): number {
  return (teams.get(team)?.running ?? 0) + (running.get(team) ?? 0);
}

function isAtLimit(team: string, counts: TeamCounts): boolean {
  const max = counts.teams.get(team)?.maxRunningTasks;
  return max !== undefined && runningOf(team, counts) >= max;
}

/** The team with the lowest ratio of running tasks to weight. */
function leastServedTeam(teamNames: ReadonlySet<string>, counts: TeamCounts): string {
  let best = "";
  let bestRatio = Number.POSITIVE_INFINITY;
  for (const team of teamNames) {
    const ratio = runningOf(team, counts) / (counts.teams.get(team)?.weight ?? 1);
    if (ratio < bestRatio) {
      best = team;
      bestRatio = ratio;
    }
  }
  return best;
}

/** A key that identifies a rack across availability zones. */
export function rackKey(
  { availabilityZone, rack }: { availabilityZone: string; rack: string },
): string {
  return `${availabilityZone}/${rack}`;
}

function teamRackKey(team: string, worker: workersIndex.WorkerCapacity): string {
  return `${team}/${rackKey(worker)}`;
}

function freeCapacityOf(worker: PlacementWorker): workersIndex.WorkerCapacity {
  const { total: _total, usable: _usable, ...free } = worker;
  return free;
}
