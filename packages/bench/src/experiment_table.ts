/**
 * The lookup table of all experiments.
 *
 * @module
 */
import type * as experiment from "./experiment.ts";
import { overheadExperiment } from "./experiments/overhead.ts";
import { propagationExperiment } from "./experiments/propagation.ts";
import { shareExperiment } from "./experiments/share.ts";

/** Experiments by name. */
export const EXPERIMENTS: experiment.ExperimentTable = {
  share: shareExperiment,
  overhead: overheadExperiment,
  propagation: propagationExperiment,
};
