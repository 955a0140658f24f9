import { expect, it } from "vitest";
import * as runTimeEstimate from "./run_time_estimate.ts";

/** An estimate from the given runs, all of which ended at 1,000 ms. */
function estimateOf(runsMs: readonly number[]): runTimeEstimate.RunTimeEstimate {
  const estimate = new runTimeEstimate.RunTimeEstimate();
  for (const runMs of runsMs) estimate.addCompleted(runMs, 1_000);
  return estimate;
}

it.each([
  {
    name: "no run has ended yet",
    runsMs: [],
    nowMs: 1_000,
    deadlineAtMs: 1_001,
    missesDeadline: false,
  },
  {
    name: "the run and the margin fit in the time left",
    runsMs: [100, 100],
    nowMs: 1_000,
    deadlineAtMs: 1_111,
    missesDeadline: false,
  },
  {
    name: "the run and the margin exceed the time left",
    runsMs: [100],
    nowMs: 1_000,
    deadlineAtMs: 1_109,
    missesDeadline: true,
  },
  {
    name: "run times vary",
    runsMs: [50, 150, 50, 150, 50, 150],
    nowMs: 1_000,
    deadlineAtMs: 1_200,
    missesDeadline: true,
  },
  {
    name: "the last run was long ago",
    runsMs: [100],
    nowMs: 1_001 + runTimeEstimate.ESTIMATE_MAX_AGE_MS,
    deadlineAtMs: 1_002 + runTimeEstimate.ESTIMATE_MAX_AGE_MS,
    missesDeadline: false,
  },
])(
  "predicts whether a run misses its deadline if $name",
  ({ runsMs, nowMs, deadlineAtMs, missesDeadline }) => {
    expect(estimateOf(runsMs).wouldMissDeadline({ nowMs, deadlineAtMs })).toBe(missesDeadline);
  },
);

it("raises the estimate after a run that was stopped at its deadline", () => {
  const estimate = estimateOf([10]);
  estimate.addTimedOut(80, 1_000);
  expect(estimate.wouldMissDeadline({ nowMs: 1_000, deadlineAtMs: 1_090 })).toBe(true);
});
