/**
 * Chooses the runs to stop on a worker that is being drained.
 *
 * @module
 */
import type { Run, StepRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Reported by a long-running task that works at full speed. */
const FULL_SPEED_PERCENT = 100;
/** Checkpointing tasks that have run for longer than this are moved; others are left to end. */
const MIN_RUN_BEFORE_MOVE_MS = 2_500;

/**
 * Returns the runs to stop now: one long-running task of each step, within the step's limit of
 * unavailable tasks; checkpointing tasks that have run for long; and others only if the drain is
 * urgent.
 */
export function runsToEvacuate(
  worker: WorkerRecord,
  { nowMs, isUrgent }: { readonly nowMs: number; readonly isUrgent: boolean },
): Run[] {
  const chosen: Run[] = [];
  const seenLongRunningSteps = new Set<StepRecord>();
  for (const run of worker.runs.values()) {
    if (run.state !== "running") {
      continue;
    }
    const { isLasting, isCheckpointing } = run.step.spec;
    if (isLasting) {
      if (!seenLongRunningSteps.has(run.step) && canStopLongRunning(run, nowMs)) {
        chosen.push(run);
      }
      seenLongRunningSteps.add(run.step);
    } else if (isUrgent || (isCheckpointing && nowMs - run.orderedAtMs > MIN_RUN_BEFORE_MOVE_MS)) {
      chosen.push(run);
    }
  }
  return chosen;
}

/** Whether stopping a long-running task keeps its step within `maxUnavailableTasks`. */
export function canStopLongRunning(run: Run, nowMs: number): boolean {
  const limit = run.step.spec.maxUnavailableTasks ?? 1;
  return countUnavailableOthers(run, nowMs) < limit;
}

function countUnavailableOthers(run: Run, nowMs: number): number {
  const others = run.step.runs().filter((other) => other.task !== run.task);
  return run.step.spec.taskCount - 1 - others.filter((other) => isAvailable(other, nowMs)).length;
}

function isAvailable(run: Run, nowMs: number): boolean {
  return run.state === "running" && run.percent >= FULL_SPEED_PERCENT &&
    nowMs >= run.mayBeStoppingUntilMs;
}
