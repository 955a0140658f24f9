/**
 * The order in which ready steps are placed. While a queue's demand is several times its pool's
 * capacity, which can last for hours, steps that can still meet their objective go before those
 * that can't.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { StepRecord } from "./job_record.ts";

/** A result is of no use to its submitter later than this many times the objective. */
const LATE_FACTOR = 3;

/** The sort key of a step; lower goes first. */
export interface Urgency {
  /**
   * 0 for long-running tasks; 1 if the objective can be met, 2 if it can but the workspace exceeds
   * its job rate; 3 if the job will be late, 4 if it is too late to be of use.
   */
  readonly tier: number;
  readonly priority: number;
  readonly dueAtMs: number;
}

/** The settings and statistics of a step's queue. */
export interface QueueView {
  readonly queue: schema.scheduling.Queue | undefined;
  /** The average ratio of actual to estimated durations of its tasks. */
  readonly durationRatio: number;
}

/** Computes the urgency of a step; an occurrence of a timetable counts from its due time. */
export function urgencyOf(
  step: StepRecord,
  { view, nowMs, sinceMs, isOverRate }: {
    readonly view: QueueView;
    readonly nowMs: number;
    /** When the job arrived, or its occurrence became due, on the monotonic clock. */
    readonly sinceMs: number;
    readonly isOverRate: boolean;
  },
): Urgency {
  const { queue, durationRatio } = view;
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER;
  if (step.spec.isLasting) {
    return { tier: 0, priority, dueAtMs: sinceMs };
  }
  const objectiveMs = (queue?.objectiveStretch ?? 1) * step.job.criticalPathMs() * durationRatio +
    (queue?.objectiveSlackMs ?? 0);
  const completesAtMs = nowMs + step.job.criticalPathFromMs(step.number) * durationRatio;
  const dueAtMs = sinceMs + objectiveMs;
  return {
    tier: tierOf(completesAtMs - sinceMs, { objectiveMs, isOverRate }),
    priority,
    dueAtMs,
  };
}

function tierOf(
  completionMs: number,
  { objectiveMs, isOverRate }: {
    readonly objectiveMs: number;
    readonly isOverRate: boolean;
  },
): number {
  if (completionMs <= objectiveMs) {
    return isOverRate ? 2 : 1;
  }
  return completionMs <= LATE_FACTOR * objectiveMs ? 3 : 4;
}

export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.tier - b.tier || a.priority - b.priority || a.dueAtMs - b.dueAtMs;
}
