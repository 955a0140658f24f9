/**
 * Compares the slot time that teams used in time windows with their weighted fair shares.
 *
 * @module
 */
import type * as fixedSplit from "./baselines/fixed_split.ts";

/** A time window, and the teams whose demand exceeded their share throughout it. */
export interface ShareWindow {
  readonly startMs: number;
  readonly endMs: number;
  readonly backloggedTeams: readonly string[];
}

/** The use of slots in one window. */
export interface WindowUsage {
  /**
   * The slot time of each backlogged team divided by its weighted share of the slot time of all
   * backlogged teams; 1 is an exact fair share.
   */
  readonly usageToShareByTeam: ReadonlyMap<string, number>;
  /** The used fraction of the available slot time. */
  readonly usedRatio: number;
}

/** The window to evaluate, its number of slots and the weights of its teams. */
export interface UsageOptions {
  readonly window: ShareWindow;
  readonly slots: number;
  readonly weightOf: (team: string) => number;
}

/** Compares the slot time of backlogged teams with their shares. */
export function windowUsage(
  runs: readonly fixedSplit.SlotRun[],
  options: UsageOptions,
): WindowUsage {
  const { window, slots, weightOf } = options;
  const usedByTeam = usedSlotTimeByTeam(runs, window);
  const backloggedMs = sum(window.backloggedTeams.map((team) => usedByTeam.get(team) ?? 0));
  const weightSum = sum(window.backloggedTeams.map(weightOf));
  const ratios = window.backloggedTeams.map((team) => {
    const shareMs = backloggedMs * weightOf(team) / weightSum;
    return [team, (usedByTeam.get(team) ?? 0) / shareMs] as const;
  });
  const availableMs = slots * (window.endMs - window.startMs);
  return {
    usageToShareByTeam: new Map(ratios),
    usedRatio: sum([...usedByTeam.values()]) / availableMs,
  };
}

/**
 * The largest deviation of a backlogged team from its share in any window, relative to the share.
 */
export function largestShareDeviation(uses: readonly WindowUsage[]): number {
  const deviations = uses.flatMap(({ usageToShareByTeam }) =>
    [...usageToShareByTeam.values()].map((ratio) => Math.abs(ratio - 1))
  );
  return Math.max(...deviations);
}

/** Windows of equal length within a span; a window starts every `stepMs`. */
export function slidingWindows(
  span: { startMs: number; endMs: number; lengthMs: number; stepMs: number },
  backloggedTeams: readonly string[],
): ShareWindow[] {
  const windows: ShareWindow[] = [];
  const { startMs, endMs, lengthMs, stepMs } = span;
  for (let atMs = startMs; atMs + lengthMs <= endMs; atMs += stepMs) {
    windows.push({ startMs: atMs, endMs: atMs + lengthMs, backloggedTeams });
  }
  return windows;
}

function usedSlotTimeByTeam(
  runs: readonly fixedSplit.SlotRun[],
  { startMs, endMs }: ShareWindow,
): Map<string, number> {
  const usedByTeam = new Map<string, number>();
  for (const { team, startedAtMs, endedAtMs } of runs) {
    const usedMs = Math.min(endedAtMs, endMs) - Math.max(startedAtMs, startMs);
    if (usedMs > 0) usedByTeam.set(team, (usedByTeam.get(team) ?? 0) + usedMs);
  }
  return usedByTeam;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
