import { describe, expect, it } from "vitest";
import * as lags from "./deficit_tracker.ts";

const CLAIMS = [
  { id: "small", weight: 1, demand: 10 },
  { id: "large", weight: 3, demand: 10 },
  { id: "idle", weight: 1, demand: 2 },
];
const SHARES = new Map([["small", 1], ["large", 3], ["idle", 2]]);

/** The corrected shares after a time in which the given numbers ran. */
function correctedAfter(running: Record<string, number>, elapsedMs: number) {
  const subject = new lags.DeficitTracker();
  const options = { claims: CLAIMS, running: new Map(Object.entries(running)) };
  subject.correct(SHARES, { ...options, nowMs: 0 });
  return subject.correct(SHARES, { ...options, nowMs: elapsedMs });
}

describe("shares corrected by what parties lack", () => {
  it.each([
    { name: "nobody lacks anything", running: { small: 1, large: 3, idle: 2 }, small: 1, large: 3 },
    {
      name: "all run less alike",
      running: { small: 0.5, large: 1.5, idle: 2 },
      small: 1,
      large: 3,
    },
    {
      name: "one lacks slots",
      running: { small: 0.5, large: 3.5, idle: 2 },
      small: 1.5,
      large: 2.5,
    },
  ])("$name", ({ running, small, large }) => {
    const corrected = correctedAfter(running, 1_000);
    expect(corrected.get("small")).toBeCloseTo(small);
    expect(corrected.get("large")).toBeCloseTo(large);
    expect(corrected.get("idle")).toBe(2);
  });

  it("bounds the correction, and gives out as many slots as before", () => {
    const corrected = correctedAfter({ small: 0, large: 4, idle: 2 }, 1_000_000);
    expect(corrected.get("small")).toBeCloseTo(2);
    expect(corrected.get("large")).toBeCloseTo(2);
    expect(corrected.get("idle")).toBe(2);
  });
});
