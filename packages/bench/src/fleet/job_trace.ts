/**
 * A trace of jobs whose declared sizes and run times are off by up to three, and its replay on workers.
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

/** Renewals with a cutoff, urgent confirmations, and two teams whose background work comes in bursts. */
const JOB_SOURCES = [
  { team: "billing", urgency: "normal", everySteps: 1, count: 2, slackMs: 60_000 },
  { team: "confirmations", urgency: "urgent", everySteps: 3, count: 1, slackMs: undefined },
  { team: "syncs", urgency: "background", everySteps: 300, count: 450, slackMs: undefined },
  { team: "catalogue", urgency: "background", everySteps: 300, count: 450, slackMs: undefined },
] as const;

/** The teams that always have work waiting after a burst, with their weights. */
export const SHARING_WEIGHTS: Readonly<Record<string, number>> = { syncs: 1, catalogue: 2 };

type WaitingJob = policy.fleet.placement.WaitingJob;

/** A job as it really is beside what was declared. */
export interface TraceJob {
  readonly declared: WaitingJob;
  readonly actualRunMs: number;
  readonly actualCores: number;
}

/** How placement sees the jobs. */
export interface PlacementView {
  readonly toWaitingJob: (job: TraceJob) => WaitingJob;
  readonly weights: Readonly<Record<string, number>>;
  /** Takes in the use of a job that has ended. */
  readonly onEnd?: (job: TraceJob) => void;
}

/** What a replay shows. */
export interface ReplayResult {
  readonly missedJobIds: ReadonlySet<string>;
  readonly deadlineJobCount: number;
  readonly maxUrgentDelayMs: number;
  /** The mean distance of the sharing teams from their share of running tasks, relative to it. */
  readonly meanShareDeviation: number;
}

interface RunningTask {
  readonly job: TraceJob;
  readonly worker: string;
  readonly placedCores: number;
  remainingMs: number;
}

/** The jobs in the order of their submission. */
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
  const trueRunMs = Math.round(runMs * random.factor());
  const cores = random.between(1, 4);
  const submittedAtMs = step * STEP_MS;
  const deadline = slackMs === undefined
    ? {}
    : { deadlineAtMs: submittedAtMs + trueRunMs + slackMs };
  return {
    actualRunMs: trueRunMs,
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

/** Plays a trace in steps. Tasks of a worker that is asked for more cores than it has run slower. */
export function replay(trace: readonly TraceJob[], view: PlacementView): ReplayResult {
  const byId = new Map(trace.map((job) => [job.declared.jobId, job]));
  const missed = new Set<string>();
  const deviations: number[] = [];
  let urgentDelayMs = 0;
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
      if (nowMs > deadlineAtMs) missed.add(jobId);
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
      if (urgency === "urgent") urgentDelayMs = Math.max(urgentDelayMs, nowMs - submittedAtMs);
    }
    const placed = new Set(placements.map(({ jobId }) => jobId));
    waiting = waiting.filter(({ declared }) => !placed.has(declared.jobId));
    const deviation = shareDeviation(running, waiting);
    if (deviation !== null) deviations.push(deviation);
  }
  const withDeadline = trace.filter(({ declared }) => declared.deadlineAtMs !== undefined).length;
  const sum = deviations.reduce((total, deviation) => total + deviation, 0);
  return {
    missedJobIds: missed,
    deadlineJobCount: withDeadline,
    maxUrgentDelayMs: urgentDelayMs,
    meanShareDeviation: sum / Math.max(1, deviations.length),
  };
}

/** Lets one step pass, and gives the tasks that have ended in it. */
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

/** Null while one of the sharing teams has nothing waiting, since it then has all it asks for. */
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
  const distances = counts.map((count, index) => {
    const share = weights[index]! / weightSum;
    return Math.abs(count / total - share) / share;
  });
  return Math.max(...distances);
}
