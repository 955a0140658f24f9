import { expect, it } from "vitest";
import * as runEstimate from "./run_time_estimate.ts";

/** An estimate from runs that ended one after another, the last one at 1,000 ms. */
function estimateOf(runsMs: readonly number[]): runEstimate.RunTimeEstimate {
  const estimate = new runEstimate.RunTimeEstimate();
  for (const runMs of runsMs) estimate.addCompleted(runMs, 1_000);
  return estimate;
}

it.each([
  { name: "nothing is known", runsMs: [], nowMs: 1_000, deadlineAtMs: 1_001, isTooLate: false },
  { name: "the run fits", runsMs: [100, 100], nowMs: 1_000, deadlineAtMs: 1_111, isTooLate: false },
  { name: "the run is longer", runsMs: [100], nowMs: 1_000, deadlineAtMs: 1_109, isTooLate: true },
  {
    name: "runs vary",
    runsMs: [50, 150, 50, 150, 50, 150],
    nowMs: 1_000,
    deadlineAtMs: 1_200,
    isTooLate: true,
  },
  {
    name: "the last run was long ago",
    runsMs: [100],
    nowMs: 1_001 + runEstimate.ESTIMATE_MAX_AGE_MS,
    deadlineAtMs: 1_002 + runEstimate.ESTIMATE_MAX_AGE_MS,
    isTooLate: false,
  },
])(
  "tells whether a run ends too late where $name",
  ({ runsMs, nowMs, deadlineAtMs, isTooLate }) => {
    expect(estimateOf(runsMs).wouldMissDeadline({ nowMs, deadlineAtMs })).toBe(isTooLate);
  },
);

it("learns from runs that were stopped at their deadlines", () => {
  const estimate = estimateOf([10]);
  estimate.addTimedOut(80, 1_000);
  expect(estimate.wouldMissDeadline({ nowMs: 1_000, deadlineAtMs: 1_090 })).toBe(true);
});
