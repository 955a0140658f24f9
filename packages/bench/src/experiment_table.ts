/**
 * The lookup table of all experiments.
 *
 * @module
 */
import type * as experiment from "./experiment.ts";
import { idleExperiment } from "./experiments/idle.ts";
import { overheadExperiment } from "./experiments/overhead.ts";
import { overloadExperiment } from "./experiments/overload.ts";
import { propagationExperiment } from "./experiments/propagation.ts";
import { recoveryExperiment } from "./experiments/recovery.ts";
import { shareExperiment } from "./experiments/share.ts";
import { storeCallsExperiment } from "./experiments/store_calls.ts";

/** Experiments by name. */
export const EXPERIMENTS: experiment.ExperimentTable = {
  share: shareExperiment,
  overhead: overheadExperiment,
  overload: overloadExperiment,
  recovery: recoveryExperiment,
  propagation: propagationExperiment,
  "store-calls": storeCallsExperiment,
  idle: idleExperiment,
};
