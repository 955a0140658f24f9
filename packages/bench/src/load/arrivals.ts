/**
 * Generates the arrivals of an open-loop load: a seeded Poisson process with a piecewise constant
 * rate, and a URL and a run time for each request.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type * as loadSpec from "./load_spec.ts";

/** A request to send. */
export interface Arrival {
  readonly atMs: number;
  /** The index of the target in the stream's URLs. */
  readonly urlIndex: number;
  /** How long a backend server works on the request; null if the URL determines it. */
  readonly runMs: number | null;
}

const MS_PER_SECOND = 1_000;

/**
 * Returns all arrivals of a stream, ordered by time. Candidates are generated at the highest rate
 * of any phase and thinned to the rate of their phase, so that the process stays Poisson across
 * phases.
 */
export function generateArrivals(stream: loadSpec.Stream): Arrival[] {
  const random = xoroshiro128plus(stream.seed);
  const maxRate = Math.max(...stream.phases.map(({ ratePerSecond }) => ratePerSecond));
  const endMs = Math.max(...stream.phases.map((phase) => phase.endMs));
  const meanGapMs = MS_PER_SECOND / maxRate;
  const arrivals: Arrival[] = [];
  let atMs = sampleExponential(random, meanGapMs);
  while (atMs < endMs) {
    const isAccepted = uniformFloat64(random) * maxRate < rateAt(stream.phases, atMs);
    const urlIndex = uniformInt(random, 0, stream.urls.length - 1);
    const runMs = stream.meanRunMs === null ? null : sampleExponential(random, stream.meanRunMs);
    if (isAccepted) arrivals.push({ atMs, urlIndex, runMs });
    atMs += sampleExponential(random, meanGapMs);
  }
  return arrivals;
}

function rateAt(phases: readonly loadSpec.Phase[], atMs: number): number {
  const phase = phases.find(({ startMs, endMs }) => startMs <= atMs && atMs < endMs);
  return phase?.ratePerSecond ?? 0;
}

function sampleExponential(random: ReturnType<typeof xoroshiro128plus>, mean: number): number {
  return -Math.log(1 - uniformFloat64(random)) * mean;
}
