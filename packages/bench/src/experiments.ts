/**
 * The lookup table of all experiments.
 *
 * @module
 */
import type * as experiment from "./experiment.ts";

/** Experiments by name. */
export const EXPERIMENTS: experiment.ExperimentTable = {};
