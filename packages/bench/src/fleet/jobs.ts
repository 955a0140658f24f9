/**
 * Measures missed deadlines, deviations from shares and delays of urgent starts, for jobs whose
 * declared sizes and run times are wrong by a factor of up to three.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as experiment from "../experiment.ts";
import * as jobTrace from "./job_trace.ts";

const TARGET_MISSED_PERCENT = 2;
const TARGET_URGENT_DELAY_S = 4.3;
const PERCENT = 100;
const MS_PER_SECOND = 1_000;
const FCFS_TEAM = "all";

export const jobsExperiment: experiment.Experiment = {
  description: "Deadlines, shares and urgent starts of jobs, against first come, first served",
  runSeed: ({ seed, progress }) => {
    const trace = jobTrace.generateTrace(seed);
    progress("placement");
    const placed = jobTrace.replay(trace, correctedView());
    progress("perfect knowledge");
    const perfect = jobTrace.replay(trace, PERFECT_VIEW);
    progress("first come, first served");
    const served = jobTrace.replay(trace, FCFS_VIEW);
    return Promise.resolve({ figures: figuresOf({ placed, perfect, served }) });
  },
};

/** Declared sizes, corrected by estimates from the actual use of the team's ended jobs. */
function correctedView(): jobTrace.PlacementView {
  const estimates = new policy.fleet.sizeEstimates.SizeEstimates();
  return {
    weights: jobTrace.SHARING_WEIGHTS,
    toWaitingJob: ({ declared }) => ({
      ...declared,
      size: { ...declared.size, ...estimates.estimate(declared.team, declared.size) },
    }),
    onEnd: ({ declared, actualCores }) => {
      const { memoryMb } = declared.size;
      const used = { cores: actualCores, memoryMb };
      estimates.observe(declared.team, { declared: declared.size, used });
    },
  };
}

const PERFECT_VIEW: jobTrace.PlacementView = {
  weights: jobTrace.SHARING_WEIGHTS,
  toWaitingJob: ({ declared, actualRunMs, actualCores }) => ({
    ...declared,
    runMs: actualRunMs,
    size: { ...declared.size, cores: actualCores },
  }),
};

/** With one team, one urgency and no deadlines, placement follows the order of submission. */
const FCFS_VIEW: jobTrace.PlacementView = {
  weights: {},
  toWaitingJob: ({ declared: { deadlineAtMs: _deadlineAtMs, ...declared } }) => ({
    ...declared,
    team: FCFS_TEAM,
    urgency: "urgent",
  }),
};

function figuresOf(
  { placed, perfect, served }: Record<"placed" | "perfect" | "served", jobTrace.ReplayResult>,
): experiment.Figure[] {
  const percentAvoidable = (outcome: jobTrace.ReplayResult) => {
    const avoidable =
      [...outcome.missedJobIds].filter((jobId) => !perfect.missedJobIds.has(jobId)).length;
    return PERCENT * avoidable / outcome.deadlineJobCount;
  };
  return [
    {
      name: "deadlines missed that perfect knowledge met",
      unit: "%",
      value: percentAvoidable(placed),
      baseline: { name: "first come, first served", value: percentAvoidable(served) },
      target: { kind: "atMost", value: TARGET_MISSED_PERCENT },
    },
    {
      name: "deadlines missed by perfect knowledge",
      unit: "jobs",
      value: perfect.missedJobIds.size,
    },
    {
      name: "longest delay of an urgent start",
      unit: "s",
      value: placed.maxUrgentDelayMs / MS_PER_SECOND,
      baseline: {
        name: "first come, first served",
        value: served.maxUrgentDelayMs / MS_PER_SECOND,
      },
      target: { kind: "atMost", value: TARGET_URGENT_DELAY_S },
    },
    {
      name: "mean distance from the share of running tasks while both teams wait",
      unit: "%",
      value: PERCENT * placed.meanShareDeviation,
      baseline: { name: "first come, first served", value: PERCENT * served.meanShareDeviation },
    },
  ];
}
