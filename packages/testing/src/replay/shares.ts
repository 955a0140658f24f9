/**
 * How near full teams come to their shares over windows of time.
 *
 * @module
 */
import type * as replayRecord from "./replay_record.ts";

const WINDOW_MS = 10_000;
const STEP_MS = 1_000;
/** Slots that were lent come back as requests end; windows begin this long after a team became full. */
const SETTLE_MS = 2_000;

/** One full team in one window. */
export interface ShareDeviation {
  readonly service: string;
  readonly team: string;
  readonly startMs: number;
  /** What the team used, relative to its share; 0 is exact. */
  readonly deviation: number;
}

/** A window at one service. */
interface Window {
  readonly service: string;
  readonly startMs: number;
}

/**
 * The distances of all full teams in all windows in which two or more are full. A team is full while it
 * has requests waiting and is not held back by its limit. Full teams share what they use together.
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
  const full = Object.values(record.config.shares).filter((share) =>
    share.pool === pool && isBacklogged(share.team, { window, record })
  );
  if (full.length < 2) return [];
  const used = full.map(({ team }) => usedSlotMs(team, { window, record }));
  const allUsed = used.reduce((sum, one) => sum + one, 0);
  const weights = full.reduce((sum, { weight }) => sum + weight, 0);
  return full.map(({ team, weight }, index) => ({
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

/** Whether a team runs about as much as its limit allows, over all services. */
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
