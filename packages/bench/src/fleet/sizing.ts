/**
 * Compares the buffers and VM moves of pools that are sized by demand with fixed buffers for the
 * peak.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";

const PEAK_RATIO = 5;
const TARGET_BUFFER_RATIO = 0.7;
const MINUTES_PER_HOUR = 60;

export const sizingExperiment: experiment.Experiment = {
  description: "Buffer cost and moves of sized pools over two days, against fixed buffers",
  runSeed: ({ seed }) => {
    const { MEAN_VMS, simulate } = testing.sizingTrace;
    const sized = simulate(seed);
    const fixed = simulate(seed, MEAN_VMS * PEAK_RATIO);
    const baseline = (value: number): experiment.Baseline => ({
      name: "fixed for the peak",
      value,
    });
    const hours = (vmMinutes: number) => vmMinutes / MINUTES_PER_HOUR;
    const firstDay = sized.shortageVmMinutes - sized.secondDayShortageVmMinutes;
    const figures: experiment.Figure[] = [
      {
        name: "buffer, relative to fixed buffers",
        unit: "x",
        value: sized.bufferVmMinutes / fixed.bufferVmMinutes,
        baseline: baseline(1),
        target: { kind: "atMost", value: TARGET_BUFFER_RATIO },
      },
      {
        name: "shortage on the first day, before the pattern is known",
        unit: "VM h",
        value: hours(firstDay),
        baseline: baseline(hours(fixed.shortageVmMinutes - fixed.secondDayShortageVmMinutes)),
        target: { kind: "atMost", value: 0 },
      },
      {
        name: "shortage on the second day",
        unit: "VM h",
        value: hours(sized.secondDayShortageVmMinutes),
        baseline: baseline(hours(fixed.secondDayShortageVmMinutes)),
        target: { kind: "atMost", value: 0 },
      },
      { name: "moves over two days", unit: "VMs", value: sized.moves, baseline: baseline(0) },
    ];
    return Promise.resolve({ figures });
  },
};
