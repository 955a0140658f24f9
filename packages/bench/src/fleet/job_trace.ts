/**
 * Generates a trace of jobs whose declared sizes and run times are wrong by a factor of up to
 * three, and replays it on simulated workers.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import * as testing from "@jackdawlink/testing";

export const STEP_MS = 1_000;
const STEPS = 1_800;
const WORKER_COUNT = 40;
const WORKER_CORES = 16;
const WORKER_MEMORY_MB = 64_000;
const MAX_PLACEMENTS = 500;
const MAX_CORES = 12;

/**
 * Renewals with a deadline, urgent confirmations, and two teams that submit background jobs in
 * bursts.
 */
const JOB_SOURCES = [
  { team: "billing", urgency: "normal", everySteps: 1, count: 2, slackMs: 60_000 },
  { team: "confirmations", urgency: "urgent", everySteps: 3, count: 1, slackMs: undefined },
  { team: "syncs", urgency: "background", everySteps: 300, count: 450, slackMs: undefined },
  { team: "catalogue", urgency: "background", everySteps: 300, count: 450, slackMs: undefined },
] as const;

/** The weights of the teams that are backlogged after a burst. */
export const SHARING_WEIGHTS: Readonly<Record<string, number>> = { syncs: 1, catalogue: 2 };

type WaitingJob = policy.fleet.placement.WaitingJob;

/** A job as declared, and its actual run time and cores. */
export interface TraceJob {
  readonly declared: WaitingJob;
  readonly actualRunMs: number;
  readonly actualCores: number;
}

/** What placement knows about the jobs. */
export interface PlacementView {
  readonly toWaitingJob: (job: TraceJob) => WaitingJob;
  readonly weights: Readonly<Record<string, number>>;
  /** Called with each job that has ended, to learn from its actual use. */
  readonly onEnd?: (job: TraceJob) => void;
}

/** The result of a replay. */
export interface ReplayResult {
  readonly missedJobIds: ReadonlySet<string>;
  readonly deadlineJobCount: number;
  readonly maxUrgentDelayMs: number;
  /**
   * The mean deviation of the backlogged teams from their share of running tasks, relative to it.
   */
  readonly meanShareDeviation: number;
}

interface RunningTask {
  readonly job: TraceJob;
  readonly worker: string;
  readonly placedCores: number;
  remainingMs: number;
}

/** Generates the jobs in order of submission. */
export function generateTrace(seed: number): readonly TraceJob[] {
  const random = new testing.seededRandom.SeededRandom(seed);
  const jobs: TraceJob[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    for (const source of JOB_SOURCES) {
      const count = step % source.everySteps === 0 ? source.count : 0;
      for (let index = 0; index < count; index += 1) {
        jobs.push(makeJob(random, { source, step, index }));
      }
    }
  }
  return jobs;
}

function makeJob(
  random: testing.seededRandom.SeededRandom,
  { source, step, index }: {
    source: typeof JOB_SOURCES[number];
    step: number;
    index: number;
  },
): TraceJob {
  const { team, urgency, slackMs } = source;
  const runMs = random.between(10, 60) * STEP_MS;
  const actualRunMs = Math.round(runMs * random.factor());
  const cores = random.between(1, 4);
  const submittedAtMs = step * STEP_MS;
  const deadline = slackMs === undefined
    ? {}
    : { deadlineAtMs: submittedAtMs + actualRunMs + slackMs };
  return {
    actualRunMs,
    actualCores: Math.min(MAX_CORES, cores * random.factor()),
    declared: {
      jobId: `${team}-${step}-${index}`,
      team,
      urgency,
      size: { cores, memoryMb: 1_000, accelerators: 0 },
      runMs,
      submittedAtMs,
      ...deadline,
    },
  };
}

/**
 * Replays a trace in steps of {@link STEP_MS}. The tasks of an overcommitted worker slow down in
 * proportion.
 */
export function replay(trace: readonly TraceJob[], view: PlacementView): ReplayResult {
  const byId = new Map(trace.map((job) => [job.declared.jobId, job]));
  const missedJobIds = new Set<string>();
  const deviations: number[] = [];
  let maxUrgentDelayMs = 0;
  let next = 0;
  let waiting: TraceJob[] = [];
  let running: RunningTask[] = [];
  for (
    let nowMs = 0;
    nowMs < STEPS * STEP_MS || waiting.length + running.length > 0;
    nowMs += STEP_MS
  ) {
    for (const { job } of advanceTasks(running)) {
      view.onEnd?.(job);
      const { jobId, deadlineAtMs = Infinity } = job.declared;
      if (nowMs > deadlineAtMs) missedJobIds.add(jobId);
    }
    running = running.filter(({ remainingMs }) => remainingMs > 0);
    for (; trace[next] !== undefined && trace[next]!.declared.submittedAtMs <= nowMs; next += 1) {
      waiting.push(trace[next]!);
    }
    const jobs = waiting.map(view.toWaitingJob);
    const sizes = new Map(jobs.map(({ jobId, size }) => [jobId, size.cores]));
    const { placements } = policy.fleet.placement.placeRound({
      jobs,
      workers: workersOf(running),
      teams: teamsOf(running, view.weights),
      nowMs,
      maxPlacements: MAX_PLACEMENTS,
    });
    for (const { jobId, worker } of placements) {
      const job = byId.get(jobId)!;
      const { urgency, submittedAtMs } = job.declared;
      running.push({ job, worker, placedCores: sizes.get(jobId)!, remainingMs: job.actualRunMs });
      if (urgency === "urgent") {
        maxUrgentDelayMs = Math.max(maxUrgentDelayMs, nowMs - submittedAtMs);
      }
    }
    const placed = new Set(placements.map(({ jobId }) => jobId));
    waiting = waiting.filter(({ declared }) => !placed.has(declared.jobId));
    const deviation = shareDeviation(running, waiting);
    if (deviation !== null) deviations.push(deviation);
  }
  const deadlineJobCount =
    trace.filter(({ declared }) => declared.deadlineAtMs !== undefined).length;
  const sum = deviations.reduce((total, deviation) => total + deviation, 0);
  return {
    missedJobIds,
    deadlineJobCount,
    maxUrgentDelayMs,
    meanShareDeviation: sum / Math.max(1, deviations.length),
  };
}

/** Advances all tasks by one step, and returns those that ended in it. */
function advanceTasks(running: readonly RunningTask[]): readonly RunningTask[] {
  const demandByWorker = new Map<string, number>();
  for (const { worker, job } of running) {
    demandByWorker.set(worker, (demandByWorker.get(worker) ?? 0) + job.actualCores);
  }
  for (const task of running) {
    const demandCores = demandByWorker.get(task.worker) ?? 0;
    task.remainingMs -= STEP_MS * Math.min(1, WORKER_CORES / demandCores);
  }
  return running.filter(({ remainingMs }) => remainingMs <= 0);
}

function workersOf(running: readonly RunningTask[]): policy.fleet.placement.PlacementWorker[] {
  const placedByWorker = new Map<string, number>();
  for (const { worker, placedCores } of running) {
    placedByWorker.set(worker, (placedByWorker.get(worker) ?? 0) + placedCores);
  }
  return Array.from({ length: WORKER_COUNT }, (_, index) => {
    const worker = `worker-${index}`;
    return {
      worker,
      availabilityZone: `zone-${index % 4}`,
      rack: `rack-${index >> 2}`,
      cores: WORKER_CORES - (placedByWorker.get(worker) ?? 0),
      memoryMb: WORKER_MEMORY_MB,
      accelerators: 0,
      usable: true,
      total: { cores: WORKER_CORES, memoryMb: WORKER_MEMORY_MB, accelerators: 0 },
    };
  });
}

function teamsOf(
  running: readonly RunningTask[],
  weights: Readonly<Record<string, number>>,
): ReadonlyMap<string, policy.fleet.placement.PlacementTeam> {
  return new Map(JOB_SOURCES.map(({ team }) => [team, {
    weight: weights[team] ?? 1,
    running: running.filter(({ job }) => job.declared.team === team).length,
  }]));
}

/** Null unless both teams are backlogged, since a team without waiting jobs gets all it demands. */
function shareDeviation(
  running: readonly RunningTask[],
  waiting: readonly TraceJob[],
): number | null {
  const teams = Object.keys(SHARING_WEIGHTS);
  const areBacklogged = teams.every((team) =>
    waiting.some(({ declared }) => declared.team === team)
  );
  const counts = teams.map((team) =>
    running.filter(({ job }) => job.declared.team === team).length
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (!areBacklogged || total === 0) return null;
  const weights = teams.map((team) => SHARING_WEIGHTS[team]!);
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const deviations = counts.map((count, index) => {
    const share = weights[index]! / weightSum;
    return Math.abs(count / total - share) / share;
  });
  return Math.max(...deviations);
}
