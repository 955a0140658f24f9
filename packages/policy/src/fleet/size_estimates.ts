/**
 * Sizes of tasks corrected from their observed usage, and what happens to those that use too much.
 *
 * @module
 */

/** Cores and memory, declared, used or estimated. */
export interface Usage {
  readonly cores: number;
  readonly memoryMb: number;
}

/** The share of the newest observation in the estimate. */
const NEW_WEIGHT = 0.2;
/** Estimates stay within these multiples of what was declared. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Added to the estimate, since usage varies and lags. */
const HEADROOM = 1.15;
/** Usage above the allotment by this factor is overuse. */
const OVERUSE_RATIO = 1.25;

interface Ratio {
  readonly cores: number;
  readonly memoryMb: number;
}

/** Ratios of used to declared size, by group of similar jobs. */
export class SizeEstimates {
  readonly #ratios = new Map<string, Ratio>();

  /** Takes in the usage of a task that has run long enough for the lag of the figures. */
  observe(group: string, { declared, used }: { declared: Usage; used: Usage }): void {
    const newest = {
      cores: clampRatio(used.cores / declared.cores),
      memoryMb: clampRatio(used.memoryMb / declared.memoryMb),
    };
    const before = this.#ratios.get(group) ?? { cores: 1, memoryMb: 1 };
    this.#ratios.set(group, {
      cores: before.cores + NEW_WEIGHT * (newest.cores - before.cores),
      // Too little memory ends a task, so the estimate follows a rise at once.
      memoryMb: Math.max(
        newest.memoryMb,
        before.memoryMb + NEW_WEIGHT * (newest.memoryMb - before.memoryMb),
      ),
    });
  }

  /** The size to place a job of a group with. */
  estimate(group: string, declared: Usage): Usage {
    const ratio = this.#ratios.get(group);
    if (ratio === undefined) {
      return declared;
    }
    return {
      cores: declared.cores * clampRatio(ratio.cores * HEADROOM),
      memoryMb: Math.ceil(declared.memoryMb * clampRatio(ratio.memoryMb * HEADROOM)),
    };
  }
}

/** What is done to a task that uses more than its allotment. */
export type OveruseAction = "none" | "throttle" | "checkpoint" | "stop";

/**
 * The next action on a task: throttled first, then checkpointed, then stopped. Only a repeatable task
 * is stopped, and none without a checkpoint. The figures lag, so that each action waits out `lagMs`.
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
