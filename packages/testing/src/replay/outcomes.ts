/**
 * The guarantees that a replay must fulfil. Each check returns the breaches that it found.
 *
 * @module
 */
import type * as replayRecord from "./replay_record.ts";
import * as shares from "./shares.ts";

/** Maximum time until an urgent request starts. */
export const URGENT_START_MS = 4_300;
/** Maximum time until a changed configuration is active at all entries. */
export const IN_FORCE_MS = 4_000;
/** Maximum time until all entries refuse a withdrawn key. */
export const KEY_REFUSED_MS = 2_000;
/** Maximum relative deviation of a backlogged team from its share. */
export const SHARE_TOLERANCE = 0.03;

type ReplayRecord = replayRecord.ReplayRecord;
type Outcome = (record: ReplayRecord) => readonly string[];

/** The checks by name; an empty list of breaches means that the outcome holds. */
export const OUTCOMES: Readonly<Record<string, Outcome>> = {
  "every request ends exactly once": endsOnce,
  "what callers are told is true": resultsMatchRuns,
  "no team runs more than its limit": withinLimits,
  "no backend server runs more than its slots": withinSlots,
  "urgent requests start in time": urgentStartInTime,
  "background requests finish or are refused before they run": backgroundEnds,
  "full teams are near their shares": nearShares,
  "a leaving backend server gets nothing new": noRunsOnLeavingServers,
  "a withdrawn key gets nothing new": noRunsForWithdrawnKeys,
};

function endsOnce({ requests, trace }: ReplayRecord): readonly string[] {
  const breaches = requests.filter(({ results }) => results.length !== 1)
    .map(({ requestId, results }) => `${requestId} ended ${results.length} times`);
  if (requests.length !== trace.arrivals.length) breaches.push("some arrivals were not replayed");
  return breaches;
}

function resultsMatchRuns(record: ReplayRecord): readonly string[] {
  const runs = runsByRequest(record);
  return record.requests.flatMap(({ requestId, results, arrival }) => {
    const count = runs.get(requestId)?.length ?? 0;
    const outcome = results[0]?.outcome;
    if (outcome === "not-run" && count > 0) return [`${requestId} ran and was told not to have`];
    if (outcome === "answered" && count === 0) return [`${requestId} was answered without a run`];
    if (!arrival.isRepeatable && count > 1) return [`${requestId} ran ${count} times`];
    return [];
  });
}

function withinLimits({ config, runs, trace }: ReplayRecord): readonly string[] {
  const changes = trace.events.filter((event) => event.type === "limitChanged");
  return Object.entries(config.limits).flatMap(([name, { team, maxRunningRequests }]) => {
    const steps = [{ atMs: 0, limit: maxRunningRequests ?? 0 }];
    for (const { limit, atMs, maxRunningRequests: changed } of changes) {
      if (limit === name) steps.push({ atMs, limit: changed });
    }
    const limitAt = (atMs: number) => {
      const inForce = steps.findLastIndex((step) => step.atMs + IN_FORCE_MS <= atMs);
      const recent = steps.filter((step, index) => index >= inForce && step.atMs <= atMs);
      return Math.max(...recent.map(({ limit }) => limit));
    };
    return startsAboveBound(runs.filter((run) => run.team === team), limitAt)
      .map((atMs) => `${team} was above its limit at ${atMs} ms`);
  });
}

function withinSlots({ config, runs }: ReplayRecord): readonly string[] {
  return Object.entries(config.backendServers).flatMap(([name, { slots }]) =>
    startsAboveBound(runs.filter(({ backendServer }) => backendServer === name), () => slots)
      .map((atMs) => `${name} was above its slots at ${atMs} ms`)
  );
}

/** The start times at which the number of running requests exceeds the bound. */
function startsAboveBound(
  runs: readonly replayRecord.Run[],
  boundAt: (atMs: number) => number,
): readonly number[] {
  return runs.map(({ startMs }) => startMs).filter((atMs) =>
    runs.filter((run) => run.startMs <= atMs && atMs < run.endMs).length > boundAt(atMs)
  );
}

/** A request may only fail to start if its entry was killed or its key was withdrawn. */
function urgentStartInTime(record: ReplayRecord): readonly string[] {
  const runs = runsByRequest(record);
  return record.requests.flatMap(({ requestId, arrival, results }) => {
    if (arrival.urgency !== "urgent") return [];
    const start = runs.get(requestId)?.[0];
    if (start === undefined) {
      const [end] = results;
      const excused = end?.outcome === "connection lost" || end?.reason === "keyRefused";
      return excused ? [] : [`${requestId} never started: ${end?.reason}`];
    }
    const delayMs = start.startMs - arrival.atMs;
    return delayMs > URGENT_START_MS ? [`${requestId} started after ${delayMs} ms`] : [];
  });
}

function backgroundEnds(record: ReplayRecord): readonly string[] {
  return record.requests.flatMap(({ requestId, arrival, results }) => {
    if (arrival.urgency !== "background") return [];
    const [end] = results;
    const kept = end !== undefined && end.outcome !== "unknown";
    return kept ? [] : [`${requestId} ended as ${end?.outcome}`];
  });
}

function nearShares(record: ReplayRecord): readonly string[] {
  return shares.shareDeviations(record)
    .filter(({ deviation }) => Math.abs(deviation) > SHARE_TOLERANCE)
    .map(({ team, service, startMs, deviation }) =>
      `${team} at ${service} from ${startMs} ms was off by ${(deviation * 100).toFixed(1)}%`
    );
}

function noRunsOnLeavingServers({ trace, runs }: ReplayRecord): readonly string[] {
  return trace.events.filter((event) => event.type === "backendServerLeaving").flatMap((event) =>
    runs.filter((run) =>
      run.backendServer === event.backendServer && run.startMs > event.atMs + IN_FORCE_MS
    ).map((run) => `${run.requestId} started at ${event.backendServer} at ${run.startMs} ms`)
  );
}

function noRunsForWithdrawnKeys({ trace, runs, config }: ReplayRecord): readonly string[] {
  return trace.events.filter((event) => event.type === "keyWithdrawn").flatMap((event) =>
    runs.filter((run) =>
      run.team === config.keys[event.key]!.team && run.startMs > event.atMs + KEY_REFUSED_MS
    ).map((run) => `${run.requestId} started with ${event.key} at ${run.startMs} ms`)
  );
}

function runsByRequest({ runs }: ReplayRecord): Map<string, replayRecord.Run[]> {
  const byRequest = new Map<string, replayRecord.Run[]>();
  for (const run of runs) {
    const list = byRequest.get(run.requestId) ?? [];
    list.push(run);
    byRequest.set(run.requestId, list);
  }
  return byRequest;
}
