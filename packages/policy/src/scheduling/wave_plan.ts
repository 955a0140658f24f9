/**
 * The next steps of a maintenance wave: which VMs go down now, and which are emptied for it.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { StepRecord } from "./job_record.ts";
import { isIdle, type VmView } from "./vm_view.ts";

/** The time to empty a VM and to maintain it, on the long side. */
const ROUND_MS = 5_000;
/** With less than this left beyond the rounds that are needed, busy VMs are emptied as well. */
const COMFORT_MS = 8_000;
/** A lasting task is stopped, placed elsewhere and at work again within this time, on the long side. */
const LASTING_MOVE_MS = 2_500;
/** With less than this left beyond the rounds that are needed, tasks are stopped. */
const URGENT_MS = 2_500;
/** A pool that has this share of its room free can spare a VM. */
const SPARE_SHARE = 0.35;

/** A wave as it stands. */
export interface WaveState {
  readonly wave: schema.scheduling.MaintenanceWave;
  readonly startedAtMs: number;
  readonly done: ReadonlySet<string>;
  /** VMs that are down for the wave right now. */
  readonly down: ReadonlySet<string>;
}

export interface WavePlan {
  /** To go down at once; nothing runs on them. */
  readonly maintain: readonly string[];
  /** To get no new tasks, so that they fall idle. */
  readonly drain: readonly string[];
  /** Whether tasks on those are to be stopped. */
  readonly isUrgent: boolean;
}

/** Plans within the wave's bound of VMs that may be down at once. */
export function planWave(
  { wave, startedAtMs, done, down }: WaveState,
  { vms, wanted, nowMs }: {
    readonly vms: readonly VmView[];
    /** Idle VMs that a pool asks for right now; they are left to it while there is time. */
    readonly wanted: ReadonlySet<string>;
    readonly nowMs: number;
  },
): WavePlan {
  const waveVms = new Set(wave.vms);
  const left = vms.filter((view) => waveVms.has(view.vm) && !done.has(view.vm));
  const slotCount = Math.max(0, wave.maxConcurrent - down.size);
  const roundCount = Math.ceil(left.length / wave.maxConcurrent);
  const slackMs = startedAtMs + wave.durationMs - nowMs - roundCount * ROUND_MS;
  const isComfortable = slackMs >= COMFORT_MS;
  const idle = left.filter((view) => isIdle(view) && !(isComfortable && wanted.has(view.vm)));
  const maintain = idle.slice(0, slotCount).map(({ vm }) => vm);
  const busy = left.filter((view) => view.state === "up" && !view.isUncertain && !isIdle(view));
  const lastingCounts = countLastingRuns(left);
  const candidates = busy.filter((view) =>
    !isComfortable || canSpare(view, vms) || slackMs < timeToMoveLastingMs(view, lastingCounts)
  );
  const empty = candidates
    .sort((a, b) => loadOf(a) - loadOf(b))
    .slice(0, Math.max(0, slotCount - maintain.length))
    .map(({ vm }) => vm);
  return { maintain, drain: empty, isUrgent: slackMs < URGENT_MS };
}

function lastingStepsOf({ worker }: VmView): StepRecord[] {
  return [...worker?.runs.values() ?? []].map(({ step }) => step)
    .filter(({ spec }) => spec.isLasting);
}

/** How many tasks of each lasting step have to leave the VMs. */
function countLastingRuns(views: readonly VmView[]): Map<StepRecord, number> {
  const counts = new Map<StepRecord, number>();
  for (const step of views.flatMap(lastingStepsOf)) {
    counts.set(step, (counts.get(step) ?? 0) + 1);
  }
  return counts;
}

/** Tasks of a lasting step leave one at a time, whichever of the VMs they are on. */
function timeToMoveLastingMs(view: VmView, counts: ReadonlyMap<StepRecord, number>): number {
  const most = Math.max(0, ...lastingStepsOf(view).map((step) => counts.get(step) ?? 0));
  return most * LASTING_MOVE_MS;
}

/** VMs that are being emptied already come first, so that their emptying is not in vain. */
function loadOf({ worker }: VmView): number {
  if (worker === undefined) {
    return 0;
  }
  const lastingCount = [...worker.runs.values()].filter(({ step }) => step.spec.isLasting).length;
  return (worker.cordon === undefined ? 1_000 : 0) + lastingCount * 10 + worker.runs.size;
}

function canSpare(view: VmView, vms: readonly VmView[]): boolean {
  let total = 0;
  let free = 0;
  for (const { pool, worker } of vms) {
    if (pool === view.pool && worker !== undefined && worker.cordon === undefined) {
      total += worker.info.total.cpuMillicores;
      free += worker.free.cpuMillicores;
    }
  }
  return view.worker?.cordon !== undefined || free >= SPARE_SHARE * total;
}
