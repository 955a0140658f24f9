/**
 * What an experiment is: a run for one seed that yields figures and plots.
 *
 * @module
 */
import type * as plots from "./report/svg_plot.ts";

/** The bound that a figure has to keep. */
export interface Target {
  readonly kind: "atMost" | "atLeast";
  readonly value: number;
}

/** The same figure of a simpler way, from the same run. */
export interface Baseline {
  readonly name: string;
  readonly value: number;
}

/** One measured number. */
export interface Figure {
  /** Stays the same for all seeds. */
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  readonly baseline?: Baseline;
  readonly target?: Target;
}

/** What one run gives. */
export interface SeedReport {
  readonly figures: readonly Figure[];
  readonly plots?: readonly plots.Plot[];
}

/** What a run gets. */
export interface ExperimentContext {
  readonly seed: number;
  /** Tells the operator how far the run is. */
  readonly progress: (message: string) => void;
}

/** One entry of the lookup table of experiments. */
export interface Experiment {
  readonly description: string;
  readonly runSeed: (context: ExperimentContext) => Promise<SeedReport>;
}

/** Experiments by the name that the command line takes. */
export type ExperimentTable = Readonly<Record<string, Experiment>>;
