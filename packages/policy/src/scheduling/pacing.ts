/**
 * Slowing down tasks on spare processor time where they delay tasks that serve users.
 *
 * @module
 */
import type { Run } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Reports cover the last half second, so that an earlier report still shows the old pace. */
const PACE_INTERVAL_MS = 600;
/** From this share of the objective on, spare work is slowed down. */
const SLOW_DOWN_SHARE = 0.85;
/** Below this share, it may speed up again. */
const SPEED_UP_SHARE = 0.5;
const SPEED_UP_STEP_PERCENT = 20;

/** A run and the share of its speed at which it should work. */
export interface PaceChange {
  readonly run: Run;
  readonly percent: number;
}

/** The changes of pace that are due. A run's new pace is noted at once; a lost order shows in reports. */
export function decidePaceChanges(workers: Iterable<WorkerRecord>, nowMs: number): PaceChange[] {
  const paces: PaceChange[] = [];
  for (const worker of workers) {
    const runs = [...worker.runs.values()];
    const spare = runs.filter((run) => run.step.spec.usesSpareCpu && run.state === "running");
    if (spare.length === 0) {
      continue;
    }
    const strain = Math.max(0, ...runs.map(strainOf));
    for (const run of spare) {
      const percent = nextPercent(run.pacePercent, strain);
      if (percent !== run.pacePercent && nowMs - run.pacedAtMs >= PACE_INTERVAL_MS) {
        run.pacePercent = percent;
        run.pacedAtMs = nowMs;
        paces.push({ run, percent });
      }
    }
  }
  return paces;
}

/** The tail of response times of a serving task as a share of its objective. */
function strainOf(run: Run): number {
  const objectiveMs = run.step.spec.latencyObjectiveMs;
  return objectiveMs > 0 && run.state === "running" ? run.load / objectiveMs : 0;
}

function nextPercent(percent: number, strain: number): number {
  if (strain >= 1) {
    return 0;
  }
  if (strain >= SLOW_DOWN_SHARE) {
    return Math.floor(percent / 2);
  }
  return strain < SPEED_UP_SHARE ? Math.min(100, percent + SPEED_UP_STEP_PERCENT) : percent;
}
