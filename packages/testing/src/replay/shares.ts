/**
 * Measures how far backlogged teams deviate from their weighted shares over sliding windows.
 *
 * @module
 */
import type * as replayRecord from "./replay_record.ts";

const WINDOW_MS = 10_000;
const STEP_MS = 1_000;
/**
 * A window starts this long after its teams became backlogged, as borrowed slots only return when
 * their requests end.
 */
const SETTLE_MS = 2_000;

/** The deviation of one backlogged team in one window. */
export interface ShareDeviation {
  readonly service: string;
  readonly team: string;
  readonly startMs: number;
  /** Relative difference between the slots the team used and its share; 0 is exact. */
  readonly deviation: number;
}

/** A window at one service. */
interface Window {
  readonly service: string;
  readonly startMs: number;
}

/**
 * The deviations of all backlogged teams, for each window in which at least two teams are backlogged.
 * A team is backlogged while it has waiting requests and is not held back by its limit. Shares are
 * relative to what the backlogged teams use together.
 */
export function shareDeviations(record: replayRecord.ReplayRecord): readonly ShareDeviation[] {
  const { durationMs } = record.trace.header;
  const found: ShareDeviation[] = [];
  for (const service of Object.keys(record.config.services)) {
    for (let startMs = 0; startMs + WINDOW_MS <= durationMs; startMs += STEP_MS) {
      found.push(...deviationsIn({ service, startMs }, record));
    }
  }
  return found;
}

function deviationsIn(
  window: Window,
  record: replayRecord.ReplayRecord,
): readonly ShareDeviation[] {
  const { pool } = record.config.services[window.service]!;
  const backlogged = Object.values(record.config.shares).filter((share) =>
    share.pool === pool && isBacklogged(share.team, { window, record })
  );
  if (backlogged.length < 2) return [];
  const used = backlogged.map(({ team }) => usedSlotMs(team, { window, record }));
  const allUsed = used.reduce((sum, one) => sum + one, 0);
  const weights = backlogged.reduce((sum, { weight }) => sum + weight, 0);
  return backlogged.map(({ team, weight }, index) => ({
    ...window,
    team,
    deviation: used[index]! / (allUsed * weight / weights) - 1,
  }));
}

interface TeamWindow {
  readonly window: Window;
  readonly record: replayRecord.ReplayRecord;
}

function isBacklogged(team: string, { window, record }: TeamWindow): boolean {
  const fromMs = window.startMs - SETTLE_MS;
  const toMs = window.startMs + WINDOW_MS;
  const samples = record.samples.filter(({ atMs }) => fromMs <= atMs && atMs < toMs);
  const hasDemand = samples.every(({ waiting }) =>
    waiting.some((one) => one.service === window.service && one.team === team && one.waiting > 0)
  );
  return hasDemand && !samples.some(({ atMs }) => isAtLimit(team, { atMs, record }));
}

/** Whether a team runs within one request of its limit, over all services. */
function isAtLimit(
  team: string,
  { atMs, record }: { atMs: number; record: replayRecord.ReplayRecord },
): boolean {
  const running =
    record.runs.filter((run) => run.team === team && run.startMs <= atMs && atMs < run.endMs)
      .length;
  return running >= limitAt(team, { atMs, record }) - 1;
}

function limitAt(
  team: string,
  { atMs, record }: { atMs: number; record: replayRecord.ReplayRecord },
): number {
  const found = Object.entries(record.config.limits).find(([, limit]) => limit.team === team);
  if (found === undefined) return 0;
  const [name, { maxRunningRequests = 0 }] = found;
  const change = record.trace.events.findLast((event) =>
    event.type === "limitChanged" && event.limit === name && event.atMs <= atMs
  );
  return change?.type === "limitChanged" ? change.maxRunningRequests : maxRunningRequests;
}

function usedSlotMs(team: string, { window, record }: TeamWindow): number {
  const endMs = window.startMs + WINDOW_MS;
  return record.runs
    .filter((run) => run.team === team && run.service === window.service)
    .reduce((sum, run) => {
      const overlapMs = Math.min(run.endMs, endMs) - Math.max(run.startMs, window.startMs);
      return sum + Math.max(0, overlapMs);
    }, 0);
}
