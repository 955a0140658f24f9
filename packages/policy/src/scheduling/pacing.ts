/**
 * Throttles tasks that use spare processor time where they slow down tasks that serve users.
 *
 * @module
 */
import type { Run } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/**
 * Minimum time between changes. Reports cover the last half second, so earlier ones still show the
 * old pace.
 */
const PACE_INTERVAL_MS = 600;
/** At or above this ratio of tail latency to objective, spare work is slowed down. */
const SLOW_DOWN_RATIO = 0.85;
/** Below this ratio, spare work speeds up again. */
const SPEED_UP_RATIO = 0.5;
const SPEED_UP_STEP_PERCENT = 20;

/** A run and its new speed, in percent of full speed. */
export interface PaceChange {
  readonly run: Run;
  readonly percent: number;
}

/** Returns the due pace changes and records them on the runs. */
export function decidePaceChanges(workers: Iterable<WorkerRecord>, nowMs: number): PaceChange[] {
  const changes: PaceChange[] = [];
  for (const worker of workers) {
    const runs = [...worker.runs.values()];
    const spareRuns = runs.filter((run) => run.step.spec.usesSpareCpu && run.state === "running");
    if (spareRuns.length === 0) {
      continue;
    }
    const latencyRatio = Math.max(0, ...runs.map(latencyRatioOf));
    for (const run of spareRuns) {
      const percent = nextPercent(run.pacePercent, latencyRatio);
      const isDue = percent !== run.pacePercent || run.isPaceUncertain;
      if (isDue && nowMs - run.pacedAtMs >= PACE_INTERVAL_MS) {
        run.pacePercent = percent;
        run.isPaceUncertain = false;
        run.pacedAtMs = nowMs;
        changes.push({ run, percent });
      }
    }
  }
  return changes;
}

/**
 * Records that an order to change a run's speed was refused or got no answer. A newer order replaces one that
 * was refused, but one without an answer may be carried out after it.
 */
export function recordPaceFailure(run: Run, { percent, mayBeCarriedOut }: {
  readonly percent: number;
  readonly mayBeCarriedOut: boolean;
}): void {
  run.isPaceUncertain ||= mayBeCarriedOut || run.pacePercent === percent;
}

/** The ratio of a serving task's tail latency to its objective. */
function latencyRatioOf(run: Run): number {
  const objectiveMs = run.step.spec.latencyObjectiveMs;
  return objectiveMs > 0 && run.state === "running" ? run.load / objectiveMs : 0;
}

function nextPercent(percent: number, latencyRatio: number): number {
  if (latencyRatio >= 1) {
    return 0;
  }
  if (latencyRatio >= SLOW_DOWN_RATIO) {
    return Math.floor(percent / 2);
  }
  return latencyRatio < SPEED_UP_RATIO ? Math.min(100, percent + SPEED_UP_STEP_PERCENT) : percent;
}
