/**
 * Generates a trace from a seeded description of a workload.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { config as configs } from "@jackdawlink/schema";
import type * as traces from "./trace.ts";

/** The time span in which the demand of a queue peaks. */
export interface Peak {
  readonly startMs: number;
  readonly endMs: number;
}

/** The requests of one team at one queue. */
export interface Stream {
  readonly team: string;
  readonly queue: string;
  /** The demand at the peak, as a multiple of the team's share of the service's slots. */
  readonly peakLoad: number;
  /** The fraction of urgent requests; the others have the urgency `otherwise`. */
  readonly urgentRatio: number;
  readonly otherwise: configs.Urgency;
  readonly meanRunMs: number;
  readonly repeatableRatio: number;
  readonly peak: Peak;
  /** The fraction of requests that arrive at the first third of the entries. */
  readonly skew: number;
}

/** A workload with its configuration, seed and events. */
export interface Description {
  readonly workload: string;
  readonly config: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly entryZones: readonly string[];
  readonly streams: readonly Stream[];
  readonly events: readonly traces.TraceEvent[];
}

/** The peak is five times the mean demand, and the trough a twentieth of the mean. */
const TROUGH_TO_PEAK = 1 / 100;
const MIN_RUN_RATIO = 0.4;
const MAX_RUN_RATIO = 1.6;
const MS_PER_SECOND = 1_000;
const MIN_GAP_MS = 1e-3;

type Random = () => number;

/** Generates the trace. The result is deterministic for a given description. */
export function record(description: Description, config: configs.Config): traces.Trace {
  const { streams, durationMs, events, workload, seed, entryZones } = description;
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const arrivals = streams.flatMap((stream) => {
    const peakPerMs = peakRate(stream, config);
    return arrivalsOf(stream, { peakPerMs, durationMs, entries: entryZones.length, random });
  });
  arrivals.sort((a, b) => a.atMs - b.atMs);
  return {
    header: {
      type: "header",
      workload,
      config: description.config,
      seed,
      durationMs,
      entryZones: [...entryZones],
      teams: [...new Set(streams.map(({ team }) => team))],
      queues: [...new Set(streams.map(({ queue }) => queue))],
    },
    arrivals,
    events,
  };
}

/** The arrival rate at the peak, in requests per millisecond. */
function peakRate(stream: Stream, config: configs.Config): number {
  const service = config.queues[stream.queue]!.service;
  const servers = Object.values(config.backendServers).filter((one) => one.service === service);
  const slots = servers.reduce((sum, server) => sum + server.slots, 0);
  const { pool } = config.services[service]!;
  const shares = Object.values(config.shares).filter((share) => share.pool === pool);
  const weights = shares.reduce((sum, share) => sum + share.weight, 0);
  const weight = shares.find((share) => share.team === stream.team)!.weight;
  return stream.peakLoad * slots * (weight / weights) / stream.meanRunMs;
}

function arrivalsOf(
  stream: Stream,
  options: { peakPerMs: number; durationMs: number; entries: number; random: Random },
): traces.Arrival[] {
  const { peakPerMs, durationMs, entries, random } = options;
  const arrivals: traces.Arrival[] = [];
  let atMs = 0;
  while (true) {
    atMs += Math.max(MIN_GAP_MS, -Math.log(1 - random()) / peakPerMs);
    if (atMs >= durationMs) return arrivals;
    const isPeak = stream.peak.startMs <= atMs && atMs < stream.peak.endMs;
    if (!isPeak && random() >= TROUGH_TO_PEAK) continue;
    const spread = MAX_RUN_RATIO - MIN_RUN_RATIO;
    arrivals.push({
      atMs: Math.floor(atMs),
      entry: entryOf(stream.skew, { entries, random }),
      team: stream.team,
      queue: stream.queue,
      urgency: random() < stream.urgentRatio ? "urgent" : stream.otherwise,
      runMs: Math.ceil(stream.meanRunMs * (MIN_RUN_RATIO + spread * random())),
      isRepeatable: random() < stream.repeatableRatio,
    });
  }
}

function entryOf(skew: number, { entries, random }: { entries: number; random: Random }): number {
  const near = Math.ceil(entries / 3);
  if (random() < skew) return Math.floor(random() * near);
  return near + Math.floor(random() * (entries - near));
}

/** Converts seconds to milliseconds. */
export function seconds(count: number): number {
  return count * MS_PER_SECOND;
}
