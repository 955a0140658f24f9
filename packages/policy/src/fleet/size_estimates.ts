/**
 * Task sizes estimated from observed usage, and the measures against tasks that exceed their
 * allotment.
 *
 * @module
 */

/** An amount of cores and memory. */
export interface Usage {
  readonly cores: number;
  readonly memoryMb: number;
}

/** The weight of the newest observation in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** Estimates are clamped to these multiples of the declared size. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Multiplies the estimate, since usage varies and its figures are delayed. */
const HEADROOM_FACTOR = 1.15;
/** Usage above the allotment times this factor is overuse. */
const OVERUSE_RATIO = 1.25;

/** The ratio of used to declared size. */
interface Ratio {
  readonly cores: number;
  readonly memoryMb: number;
}

/** Estimates task sizes from the ratios of used to declared size, by group of similar jobs. */
export class SizeEstimates {
  readonly #ratios = new Map<string, Ratio>();

  /** Adds an observation of a task that has run longer than the delay of the usage figures. */
  observe(group: string, { declared, used }: { declared: Usage; used: Usage }): void {
    const newest = {
      cores: clampRatio(used.cores / declared.cores),
      memoryMb: clampRatio(used.memoryMb / declared.memoryMb),
    };
    const before = this.#ratios.get(group) ?? { cores: 1, memoryMb: 1 };
    this.#ratios.set(group, {
      cores: before.cores + SMOOTHING_FACTOR * (newest.cores - before.cores),
      // A task without enough memory is killed, so the estimate follows an increase immediately.
      memoryMb: Math.max(
        newest.memoryMb,
        before.memoryMb + SMOOTHING_FACTOR * (newest.memoryMb - before.memoryMb),
      ),
    });
  }

  /** The estimated size of a job of a group, used for its placement. */
  estimate(group: string, declared: Usage): Usage {
    const ratio = this.#ratios.get(group);
    if (ratio === undefined) {
      return declared;
    }
    return {
      cores: declared.cores * clampRatio(ratio.cores * HEADROOM_FACTOR),
      memoryMb: Math.ceil(declared.memoryMb * clampRatio(ratio.memoryMb * HEADROOM_FACTOR)),
    };
  }
}

/** The action on a task that uses more than its allotment. */
export type OveruseAction = "none" | "throttle" | "checkpoint" | "stop";

/**
 * Escalates from throttling to a checkpoint to stopping the task. Only a repeatable task is
 * checkpointed or stopped, and it is stopped only after a checkpoint. Since usage figures are
 * delayed by `lagMs`, at least this much time passes between two actions.
 */
export function overuseAction(
  task: {
    readonly allotted: Usage;
    readonly used: Usage;
    readonly checkpointed: boolean;
    readonly repeatable: boolean;
  },
  { last, sinceLastMs, lagMs }: {
    readonly last: OveruseAction;
    readonly sinceLastMs: number;
    readonly lagMs: number;
  },
): OveruseAction {
  const isOver = task.used.cores > task.allotted.cores * OVERUSE_RATIO ||
    task.used.memoryMb > task.allotted.memoryMb * OVERUSE_RATIO;
  if (!isOver || sinceLastMs < lagMs) {
    return "none";
  }
  if (last === "none") {
    return "throttle";
  }
  if (!task.repeatable) {
    return "none";
  }
  return task.checkpointed ? "stop" : "checkpoint";
}

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}
