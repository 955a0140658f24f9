import { describe, expect, it } from "vitest";
import * as deficitTracker from "./deficit_tracker.ts";

const PARTICIPANTS = [
  { id: "small", weight: 1, demand: 10 },
  { id: "large", weight: 3, demand: 10 },
  { id: "idle", weight: 1, demand: 2 },
];
const SHARES = new Map([["small", 1], ["large", 3], ["idle", 2]]);

/** The corrected shares after the given numbers of slots ran for `elapsedMs`. */
function correctedAfter(running: Record<string, number>, elapsedMs: number) {
  const tracker = new deficitTracker.DeficitTracker();
  const options = { participants: PARTICIPANTS, running: new Map(Object.entries(running)) };
  tracker.correct(SHARES, { ...options, nowMs: 0 });
  return tracker.correct(SHARES, { ...options, nowMs: elapsedMs });
}

describe("DeficitTracker", () => {
  it.each([
    {
      name: "keeps the shares without deficits",
      running: { small: 1, large: 3, idle: 2 },
      small: 1,
      large: 3,
    },
    {
      name: "keeps the shares if all run less in proportion",
      running: { small: 0.5, large: 1.5, idle: 2 },
      small: 1,
      large: 3,
    },
    {
      name: "moves slots to a participant with a deficit",
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

  it("bounds the correction and keeps the sum of the shares", () => {
    const corrected = correctedAfter({ small: 0, large: 4, idle: 2 }, 1_000_000);
    expect(corrected.get("small")).toBeCloseTo(2);
    expect(corrected.get("large")).toBeCloseTo(2);
    expect(corrected.get("idle")).toBe(2);
  });
});
