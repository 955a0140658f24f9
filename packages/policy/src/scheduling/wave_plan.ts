/**
 * Plans a maintenance wave: which VMs go down now, and which are drained for it.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { StepRecord } from "./job_record.ts";
import { isIdle, type VmView } from "./vm_view.ts";

/** Upper estimate of the time to drain a VM and to maintain it. */
const ROUND_MS = 5_000;
/** With less slack than this beyond the remaining rounds, busy VMs are drained as well. */
const AMPLE_SLACK_MS = 8_000;
/** Upper estimate of the time to stop a long-running task and restart it elsewhere. */
const LONG_RUNNING_MOVE_MS = 2_500;
/** With less slack than this beyond the remaining rounds, tasks are stopped. */
const URGENT_SLACK_MS = 2_500;
/** A pool with at least this fraction of its processors free can spare a VM. */
const SPARE_CAPACITY_RATIO = 0.35;

/** The progress of a wave. */
export interface WaveState {
  readonly wave: schema.scheduling.MaintenanceWave;
  readonly startedAtMs: number;
  readonly done: ReadonlySet<string>;
  /** VMs that are down for the wave right now. */
  readonly down: ReadonlySet<string>;
}

/** The next actions of a wave, as names of VMs. */
export interface WavePlan {
  /** Idle VMs that go down at once. */
  readonly maintain: readonly string[];
  /** VMs that get no new tasks, so that they become idle. */
  readonly drain: readonly string[];
  /** Whether to stop the tasks on the VMs being drained. */
  readonly isUrgent: boolean;
}

/** Plans the next actions, with at most `maxConcurrent` VMs of the wave down or draining. */
export function planWave(
  { wave, startedAtMs, done, down }: WaveState,
  { vms, wanted, nowMs }: {
    readonly vms: readonly VmView[];
    /** Idle VMs that a pool needs right now; the wave takes them last, once its slack is short. */
    readonly wanted: ReadonlySet<string>;
    readonly nowMs: number;
  },
): WavePlan {
  const waveVms = new Set(wave.vms);
  const remaining = vms.filter((view) => waveVms.has(view.vm) && !done.has(view.vm));
  const slotCount = Math.max(0, wave.maxConcurrent - down.size);
  const roundCount = Math.ceil(remaining.length / wave.maxConcurrent);
  const slackMs = startedAtMs + wave.durationMs - nowMs - roundCount * ROUND_MS;
  const hasAmpleSlack = slackMs >= AMPLE_SLACK_MS;
  const idle = remaining
    .filter((view) => isIdle(view) && !(hasAmpleSlack && wanted.has(view.vm)))
    .sort((a, b) => lossOf(a, wanted) - lossOf(b, wanted));
  const maintain = idle.slice(0, slotCount).map(({ vm }) => vm);
  const busy = remaining.filter((view) =>
    view.state === "up" && !view.isUncertain && !isIdle(view)
  );
  const longRunningCounts = countLongRunningRuns(remaining);
  const candidates = busy.filter((view) =>
    !hasAmpleSlack || canPoolSpare(view, vms) ||
    slackMs < timeToMoveLongRunningMs(view, longRunningCounts)
  );
  const drain = candidates
    .sort((a, b) => drainCostOf(a) - drainCostOf(b))
    .slice(0, Math.max(0, slotCount - maintain.length))
    .map(({ vm }) => vm);
  return { maintain, drain, isUrgent: slackMs < URGENT_SLACK_MS };
}

/** How much capacity is lost while an idle VM is down: none in standby, most where it is needed. */
function lossOf({ vm, isStandby }: VmView, wanted: ReadonlySet<string>): number {
  return wanted.has(vm) ? 2 : Number(!isStandby);
}

function longRunningStepsOf({ worker }: VmView): StepRecord[] {
  return [...worker?.runs.values() ?? []].map(({ step }) => step)
    .filter(({ spec }) => spec.isLasting);
}

/** Counts the runs that have to leave the VMs, by long-running step. */
function countLongRunningRuns(views: readonly VmView[]): Map<StepRecord, number> {
  const counts = new Map<StepRecord, number>();
  for (const step of views.flatMap(longRunningStepsOf)) {
    counts.set(step, (counts.get(step) ?? 0) + 1);
  }
  return counts;
}

/** Tasks of a long-running step move one at a time, also when they are on different VMs. */
function timeToMoveLongRunningMs(view: VmView, counts: ReadonlyMap<StepRecord, number>): number {
  const maxCount = Math.max(0, ...longRunningStepsOf(view).map((step) => counts.get(step) ?? 0));
  return maxCount * LONG_RUNNING_MOVE_MS;
}

/** The relative cost of draining a VM; lowest for VMs that are draining already. */
function drainCostOf({ worker }: VmView): number {
  if (worker === undefined) {
    return 0;
  }
  const longRunningCount =
    [...worker.runs.values()].filter(({ step }) => step.spec.isLasting).length;
  return (worker.cordon === undefined ? 1_000 : 0) + longRunningCount * 10 + worker.runs.size;
}

/** Whether the VM is draining already, or its pool has enough free capacity to spare it. */
function canPoolSpare(view: VmView, vms: readonly VmView[]): boolean {
  let total = 0;
  let free = 0;
  for (const { pool, worker } of vms) {
    if (pool === view.pool && worker !== undefined && worker.cordon === undefined) {
      total += worker.info.total.cpuMillicores;
      free += Math.max(0, worker.free.cpuMillicores);
    }
  }
  return view.worker?.cordon !== undefined || free >= SPARE_CAPACITY_RATIO * total;
}
