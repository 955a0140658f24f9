/**
 * The order in which ready steps get room. It answers the hours in which a queue asks for several times
 * what its pool holds: what can still meet its objective goes before what can't.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { StepRecord } from "./job_record.ts";

/** A job is late up to this many times its objective; later it is of no use to its submitter. */
const LATE_FACTOR = 3;

/** How urgent a step is; lower goes first. */
export interface Urgency {
  /**
   * 0 for lasting tasks; 1 where the objective can be met, 2 where it can and the workspace is beyond its
   * share; 3 where the job will be late, 4 where it is too late to be of use.
   */
  readonly tier: number;
  readonly priority: number;
  readonly dueAtMs: number;
}

/** What is known of a step's queue. */
export interface QueueView {
  readonly queue: schema.scheduling.Queue | undefined;
  /** How long tasks really take, as a multiple of their estimates. */
  readonly durationRatio: number;
}

/** Rates a step at a time; an occurrence of a timetable counts from its due time. */
export function urgencyOf(
  step: StepRecord,
  { view, nowMs, sinceMs, isOverRate }: {
    readonly view: QueueView;
    readonly nowMs: number;
    /** When the job, or its occurrence, came due. */
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
  const readyAtMs = nowMs + step.job.criticalPathFromMs(step.number) * durationRatio;
  const dueAtMs = sinceMs + objectiveMs;
  return {
    tier: tierOf(readyAtMs - sinceMs, { objectiveMs, isOverRate }),
    priority,
    dueAtMs,
  };
}

function tierOf(
  tookMs: number,
  { objectiveMs, isOverRate }: {
    readonly objectiveMs: number;
    readonly isOverRate: boolean;
  },
): number {
  if (tookMs <= objectiveMs) {
    return isOverRate ? 2 : 1;
  }
  return tookMs <= LATE_FACTOR * objectiveMs ? 3 : 4;
}

export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.tier - b.tier || a.priority - b.priority || a.dueAtMs - b.dueAtMs;
}
