import { describe, expect, it } from "vitest";
import * as arrivals from "./arrivals.ts";
import type * as loadSpec from "./load_spec.ts";

const STREAM: loadSpec.Stream = {
  name: "stream",
  seed: 7,
  urls: ["http://a/", "http://b/"],
  headers: {},
  phases: [
    { startMs: 0, endMs: 50_000, ratePerSecond: 100 },
    { startMs: 50_000, endMs: 100_000, ratePerSecond: 500 },
  ],
  meanRunMs: 20,
  withIdempotencyKeys: false,
};

describe("seeded arrivals", () => {
  const all = arrivals.generateArrivals(STREAM);

  it.each([
    { name: "first phase", startMs: 0, endMs: 50_000, expected: 5_000 },
    { name: "second phase", startMs: 50_000, endMs: 100_000, expected: 25_000 },
  ])("arrive at the rate of the $name", ({ startMs, endMs, expected }) => {
    const count = all.filter(({ atMs }) => atMs >= startMs && atMs < endMs).length;
    const fiveDeviations = 5 * Math.sqrt(expected);
    expect(Math.abs(count - expected)).toBeLessThan(fiveDeviations);
  });

  it("have exponential gaps and the mean run time", () => {
    const times = all.filter(({ atMs }) => atMs < 50_000).map(({ atMs }) => atMs);
    const gaps = times.slice(1).map((atMs, index) => atMs - times[index]!);
    const meanGap = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const longerThanMean = gaps.filter((gap) => gap > meanGap).length / gaps.length;
    expect(longerThanMean).toBeCloseTo(Math.exp(-1), 1);
    const runs = all.map(({ runMs }) => runMs!);
    expect(runs.reduce((sum, runMs) => sum + runMs, 0) / runs.length).toBeCloseTo(20, 0);
  });

  it("depend only on the seed", () => {
    expect(arrivals.generateArrivals(STREAM)).toEqual(all);
    expect(arrivals.generateArrivals({ ...STREAM, seed: 8 })).not.toEqual(all);
  });
});
