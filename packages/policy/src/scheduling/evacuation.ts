/**
 * Which runs may be stopped on a worker that is to be emptied.
 *
 * @module
 */
import type { Run, StepRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** A lasting task works at full speed. */
const AT_WORK_PERCENT = 100;
/** A task with checkpoints that has been at it for so long is moved, others are left to end. */
const MOVE_AFTER_MS = 2_500;

/**
 * The runs to stop now. Lasting tasks move one at a time within their step's bound; tasks that save their
 * progress move when they take long; others only when time presses.
 */
export function runsToEvacuate(
  worker: WorkerRecord,
  { nowMs, isUrgent }: { readonly nowMs: number; readonly isUrgent: boolean },
): Run[] {
  const chosen: Run[] = [];
  const steps = new Set<StepRecord>();
  for (const run of worker.runs.values()) {
    if (run.state !== "running") {
      continue;
    }
    const { isLasting, isCheckpointing } = run.step.spec;
    if (isLasting) {
      if (!steps.has(run.step) && canStopLongRunning(run, nowMs)) {
        chosen.push(run);
      }
      steps.add(run.step);
    } else if (isUrgent || (isCheckpointing && nowMs - run.orderedAtMs > MOVE_AFTER_MS)) {
      chosen.push(run);
    }
  }
  return chosen;
}

/** Whether fewer other tasks of the step are away than the step allows. */
export function canStopLongRunning(run: Run, nowMs: number): boolean {
  const bound = run.step.spec.maxUnavailableTasks ?? 1;
  return othersAway(run, nowMs) < bound;
}

function othersAway(run: Run, nowMs: number): number {
  return run.step.tasks.filter((task) => task !== run.task && !isAtWork(task.run, nowMs)).length;
}

function isAtWork(run: Run | undefined, nowMs: number): boolean {
  return run?.state === "running" && run.percent >= AT_WORK_PERCENT &&
    nowMs >= run.mayBeStoppingUntilMs;
}
