/**
 * The lookup table of all experiments.
 *
 * @module
 */
import type * as experiment from "./experiment.ts";
import { shareExperiment } from "./experiments/share.ts";

/** Experiments by name. */
export const EXPERIMENTS: experiment.ExperimentTable = {
  share: shareExperiment,
};
