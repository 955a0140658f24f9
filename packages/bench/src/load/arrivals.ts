/**
 * Seeded arrivals of an open loop: a Poisson process whose rate may change over time, and what each
 * request asks for.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type * as loadSpec from "./load_spec.ts";

/** One request that is to be sent. */
export interface Arrival {
  readonly atMs: number;
  /** Which of the stream's URLs it goes to. */
  readonly urlIndex: number;
  /** How long a backend server works on it; null where the URL tells. */
  readonly runMs: number | null;
}

const MS_PER_SECOND = 1_000;

/**
 * All arrivals of a stream, by rising time. Candidates come at the highest rate, and those that exceed
 * the rate of their time are left out, so that phases don't disturb the process.
 */
export function generateArrivals(stream: loadSpec.Stream): Arrival[] {
  const random = xoroshiro128plus(stream.seed);
  const highestRate = Math.max(...stream.phases.map(({ ratePerSecond }) => ratePerSecond));
  const endMs = Math.max(...stream.phases.map((phase) => phase.endMs));
  const meanGapMs = MS_PER_SECOND / highestRate;
  const arrivals: Arrival[] = [];
  let atMs = exponential(random, meanGapMs);
  while (atMs < endMs) {
    const isKept = uniformFloat64(random) * highestRate < rateAt(stream.phases, atMs);
    const urlIndex = uniformInt(random, 0, stream.urls.length - 1);
    const runMs = stream.meanRunMs === null ? null : exponential(random, stream.meanRunMs);
    if (isKept) arrivals.push({ atMs, urlIndex, runMs });
    atMs += exponential(random, meanGapMs);
  }
  return arrivals;
}

function rateAt(phases: readonly loadSpec.Phase[], atMs: number): number {
  const phase = phases.find(({ startMs, endMs }) => startMs <= atMs && atMs < endMs);
  return phase?.ratePerSecond ?? 0;
}

function exponential(random: ReturnType<typeof xoroshiro128plus>, mean: number): number {
  return -Math.log(1 - uniformFloat64(random)) * mean;
}
