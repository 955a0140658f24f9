/**
 * The table of all experiments of the `bench` command.
 *
 * @module
 */
import type * as experiment from "./experiment.ts";
import { jobsExperiment } from "./fleet/jobs.ts";
import { placementExperiment } from "./fleet/placement.ts";
import { sizingExperiment } from "./fleet/sizing.ts";
import { stewardReadsExperiment } from "./fleet/steward_reads.ts";
import { waveExperiment } from "./fleet/wave.ts";
import { idleExperiment } from "./experiments/idle.ts";
import { overheadExperiment } from "./experiments/overhead.ts";
import { overloadExperiment } from "./experiments/overload.ts";
import { propagationExperiment } from "./experiments/propagation.ts";
import { recoveryExperiment } from "./experiments/recovery.ts";
import { shareExperiment } from "./experiments/share.ts";
import { storeCallsExperiment } from "./experiments/store_calls.ts";

/** All experiments by their name on the command line. */
export const EXPERIMENTS: experiment.ExperimentTable = {
  share: shareExperiment,
  overhead: overheadExperiment,
  overload: overloadExperiment,
  recovery: recoveryExperiment,
  propagation: propagationExperiment,
  "store-calls": storeCallsExperiment,
  idle: idleExperiment,
  wave: waveExperiment,
  sizing: sizingExperiment,
  jobs: jobsExperiment,
  placement: placementExperiment,
  "steward-reads": stewardReadsExperiment,
};
