/**
 * The interface of experiments. An experiment runs with one seed and returns figures and plots.
 *
 * @module
 */
import type * as plots from "./report/svg_plot.ts";

/** The upper or lower bound that a figure is compared with. */
export interface Target {
  readonly kind: "atMost" | "atLeast";
  readonly value: number;
}

/** The same figure for a simpler alternative, usually measured in the same run. */
export interface Baseline {
  readonly name: string;
  readonly value: number;
}

/** One measured value. */
export interface Figure {
  /** Identifies the figure across seeds, so it must not depend on the seed. */
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  readonly baseline?: Baseline;
  readonly target?: Target;
}

/** The result of a run with one seed. */
export interface SeedReport {
  readonly figures: readonly Figure[];
  readonly plots?: readonly plots.Plot[];
}

/** The input of a run. */
export interface ExperimentContext {
  readonly seed: number;
  /** Reports the current phase of the run to the operator. */
  readonly progress: (message: string) => void;
}

/** An experiment of the `bench` command. */
export interface Experiment {
  readonly description: string;
  readonly runSeed: (context: ExperimentContext) => Promise<SeedReport>;
}

/** Experiments by their name on the command line. */
export type ExperimentTable = Readonly<Record<string, Experiment>>;
