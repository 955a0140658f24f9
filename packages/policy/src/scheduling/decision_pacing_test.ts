import { expect, test } from "vitest";
import { gapAfterMs } from "./decision_pacing.ts";

/** Plays one second of events that come one each millisecond; returns how many decisions they cause. */
function decisionsInOneSecond(tookMs: number): number {
  let count = 0;
  let nextAtMs = 0;
  for (let atMs = 0; atMs < 1_000; atMs++) {
    if (atMs >= nextAtMs) {
      count++;
      nextAtMs = atMs + tookMs + gapAfterMs(tookMs);
    }
  }
  return count;
}

test.each([
  {
    name: "short decisions share the events of some milliseconds",
    tookMs: 0.3,
    min: 150,
    max: 250,
  },
  { name: "a decision takes at most half of the time", tookMs: 10, min: 45, max: 50 },
  { name: "a long one is not followed by a long pause", tookMs: 200, min: 4, max: 5 },
])("$name", ({ tookMs, min, max }) => {
  const count = decisionsInOneSecond(tookMs);
  expect(count).toBeGreaterThanOrEqual(min);
  expect(count).toBeLessThanOrEqual(max);
});
