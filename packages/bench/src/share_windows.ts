/**
 * How far teams are from their weighted shares, measured in slot time over windows.
 *
 * @module
 */
import type * as fixedSplit from "./baselines/fixed_split.ts";

/** A window, and the teams that had more demand than their share in all of it. */
export interface ShareWindow {
  readonly startMs: number;
  readonly endMs: number;
  readonly backloggedTeams: readonly string[];
}

/** What one window shows. */
export interface WindowUsage {
  /** The slot time of each full team, relative to its share of what full teams got; 1 is exact. */
  readonly usageToShareByTeam: ReadonlyMap<string, number>;
  /** The part of all slot time that was used. */
  readonly usedRatio: number;
}

/** How the use of a window is read. */
export interface UsageOptions {
  readonly window: ShareWindow;
  readonly slots: number;
  readonly weightOf: (team: string) => number;
}

/** Compares the slot time of full teams with their shares. */
export function windowUsage(
  runs: readonly fixedSplit.SlotRun[],
  options: UsageOptions,
): WindowUsage {
  const { window, slots, weightOf } = options;
  const usedByTeam = slotTimeByTeam(runs, window);
  const fullMs = sum(window.backloggedTeams.map((team) => usedByTeam.get(team) ?? 0));
  const weights = sum(window.backloggedTeams.map(weightOf));
  const relatives = window.backloggedTeams.map((team) => {
    const shareMs = fullMs * weightOf(team) / weights;
    return [team, (usedByTeam.get(team) ?? 0) / shareMs] as const;
  });
  const allMs = slots * (window.endMs - window.startMs);
  return {
    usageToShareByTeam: new Map(relatives),
    usedRatio: sum([...usedByTeam.values()]) / allMs,
  };
}

/** The largest distance of a full team from its share over all windows, relative to the share. */
export function largestShareDeviation(uses: readonly WindowUsage[]): number {
  const distances = uses.flatMap(({ usageToShareByTeam: relativeByTeam }) =>
    [...relativeByTeam.values()].map((relative) => Math.abs(relative - 1))
  );
  return Math.max(...distances);
}

/** Windows of one length that start at each step. */
export function slidingWindows(
  span: { startMs: number; endMs: number; lengthMs: number; stepMs: number },
  fullTeams: readonly string[],
): ShareWindow[] {
  const windows: ShareWindow[] = [];
  const { startMs, endMs, lengthMs, stepMs } = span;
  for (let atMs = startMs; atMs + lengthMs <= endMs; atMs += stepMs) {
    windows.push({ startMs: atMs, endMs: atMs + lengthMs, backloggedTeams: fullTeams });
  }
  return windows;
}

function slotTimeByTeam(
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
