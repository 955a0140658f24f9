/**
 * One round of placement: which waiting jobs start on which workers.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as workersIndex from "./workers_index.ts";

/** A waiting job with its corrected size. */
export interface WaitingJob {
  readonly jobId: string;
  readonly team: string;
  readonly urgency: schema.config.Urgency;
  readonly size: workersIndex.TaskSize;
  readonly runMs: number;
  readonly submittedAtMs: number;
  readonly deadlineAtMs?: number;
}

/** A worker as placement sees it; `usable` is false for draining and quarantined ones. */
export interface PlacementWorker extends workersIndex.WorkerCapacity {
  readonly total: workersIndex.TaskSize;
  readonly usable: boolean;
}

/** A team's weight, limit and running tasks. */
export interface PlacementTeam {
  readonly weight: number;
  readonly maxRunningTasks?: number;
  readonly running: number;
  /** Running tasks by {@link rackKey}, for the spread over racks. */
  readonly runningByRack?: ReadonlyMap<string, number>;
}

/** One placement. */
export interface Placement {
  readonly jobId: string;
  readonly worker: string;
}

/** A job that no worker could ever run. */
export interface Refusal {
  readonly jobId: string;
  readonly reason: string;
}

/** What one round decides. */
export interface PlacementRound {
  readonly placements: readonly Placement[];
  readonly refusals: readonly Refusal[];
}

/** Background work that has waited this long counts as normal. */
const BACKGROUND_AGING_MS = 600_000;

/** The part of all cores that only urgent jobs may take, so that they need not wait for a task's end. */
const URGENT_RESERVE_RATIO = 0.03;
/** With fewer workers a reserve could keep a large job from ever starting. */
const MIN_WORKERS_FOR_RESERVE = 20;

const URGENCY_RANK: Readonly<Record<schema.config.Urgency, number>> = {
  urgent: 0,
  normal: 1,
  background: 2,
};

/**
 * Places jobs: urgent ones first, then the team furthest below its weight, within a team by the
 * latest possible start. A team at its limit places nothing.
 */
export function placeRound(input: {
  readonly jobs: readonly WaitingJob[];
  readonly workers: readonly PlacementWorker[];
  readonly teams: ReadonlyMap<string, PlacementTeam>;
  readonly nowMs: number;
  readonly maxPlacements: number;
}): PlacementRound {
  const { possible, refusals } = splitPossible(input.jobs, input.workers);
  const index = new workersIndex.WorkersIndex(
    input.workers.filter((worker) => worker.usable).map(copyFree),
  );
  const running = new Map<string, number>();
  const loads = new Map<string, number>();
  const placements: Placement[] = [];
  let freeCores = coresAboveReserve(input.workers);
  for (const [rank, queues] of byRank(possible, input.nowMs).entries()) {
    const open = new Set(queues.keys());
    while (open.size > 0 && placements.length < input.maxPlacements) {
      const team = furthestBelowWeight(open, { teams: input.teams, running });
      const job = queues.get(team)?.shift();
      if (job === undefined || isAtLimit(team, { teams: input.teams, running })) {
        open.delete(team);
        continue;
      }
      if (rank > URGENCY_RANK.urgent && job.size.cores > freeCores) {
        continue;
      }
      const worker = index.allocate(job.size, (each) =>
        (loads.get(loadKey(team, each)) ?? 0) +
        (input.teams.get(team)?.runningByRack?.get(rackKey(each)) ?? 0));
      if (worker === undefined) {
        continue;
      }
      freeCores -= job.size.cores;
      placements.push({ jobId: job.jobId, worker: worker.worker });
      running.set(team, (running.get(team) ?? 0) + 1);
      loads.set(loadKey(team, worker), (loads.get(loadKey(team, worker)) ?? 0) + 1);
    }
  }
  return { placements, refusals };
}

/** The free cores that jobs that aren't urgent may take together. */
function coresAboveReserve(workers: readonly PlacementWorker[]): number {
  const usable = workers.filter((worker) => worker.usable);
  if (usable.length < MIN_WORKERS_FOR_RESERVE) {
    return Number.POSITIVE_INFINITY;
  }
  const freeCores = usable.reduce((sum, worker) => sum + worker.cores, 0);
  const totalCores = usable.reduce((sum, worker) => sum + worker.total.cores, 0);
  return freeCores - totalCores * URGENT_RESERVE_RATIO;
}

/** Jobs that some worker could run when empty, and the others with the reason. */
function splitPossible(
  jobs: readonly WaitingJob[],
  workers: readonly PlacementWorker[],
): { possible: readonly WaitingJob[]; refusals: readonly Refusal[] } {
  const totals = new Map(workers.map(({ total }) => [JSON.stringify(total), total]));
  const possible: WaitingJob[] = [];
  const refusals: Refusal[] = [];
  for (const job of jobs) {
    const isPossible = totals.size === 0 ||
      [...totals.values()].some((total) => workersIndex.fits(job.size, total));
    if (isPossible) {
      possible.push(job);
    } else {
      const { cores, memoryMb, accelerators } = job.size;
      const reason =
        `No worker has ${cores} cores, ${memoryMb} MB and ${accelerators} accelerators together`;
      refusals.push({ jobId: job.jobId, reason });
    }
  }
  return { possible, refusals };
}

/** For each urgency the queues of the teams, in the order of the latest possible start. */
function byRank(
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

/** The latest possible start first, then the longest wait. */
function compareJobs(left: WaitingJob, right: WaitingJob): number {
  const leftStartMs = (left.deadlineAtMs ?? Number.MAX_SAFE_INTEGER) - left.runMs;
  const rightStartMs = (right.deadlineAtMs ?? Number.MAX_SAFE_INTEGER) - right.runMs;
  const hasDeadline = left.deadlineAtMs !== undefined || right.deadlineAtMs !== undefined;
  return (hasDeadline ? leftStartMs - rightStartMs : 0) || left.submittedAtMs - right.submittedAtMs;
}

interface TeamCounts {
  readonly teams: ReadonlyMap<string, PlacementTeam>;
  /** Placements of this round. */
  readonly running: ReadonlyMap<string, number>;
}

/** How many tasks of a team run, with those of this round. */
function runningOf(team: string, { teams, running }: TeamCounts): number {
  return (teams.get(team)?.running ?? 0) + (running.get(team) ?? 0);
}

function isAtLimit(team: string, counts: TeamCounts): boolean {
  const max = counts.teams.get(team)?.maxRunningTasks;
  return max !== undefined && runningOf(team, counts) >= max;
}

function furthestBelowWeight(open: ReadonlySet<string>, counts: TeamCounts): string {
  let best = "";
  let bestRatio = Number.POSITIVE_INFINITY;
  for (const team of open) {
    const ratio = runningOf(team, counts) / (counts.teams.get(team)?.weight ?? 1);
    if (ratio < bestRatio) {
      best = team;
      bestRatio = ratio;
    }
  }
  return best;
}

/** Names a rack in its availability zone. */
export function rackKey(
  { availabilityZone, rack }: { availabilityZone: string; rack: string },
): string {
  return `${availabilityZone}/${rack}`;
}

function loadKey(team: string, worker: workersIndex.WorkerCapacity): string {
  return `${team}/${rackKey(worker)}`;
}

function copyFree(worker: PlacementWorker): workersIndex.WorkerCapacity {
  const { total: _total, usable: _usable, ...free } = worker;
  return free;
}
