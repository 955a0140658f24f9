/**
 * Load generation, experiments and plots.
 *
 * @module
 */
export * as experiment from "./experiment.ts";
export * as experimentTable from "./experiment_table.ts";
export * as reportFiles from "./report/report_files.ts";
export * as summary from "./report/summary.ts";
export * as svgPlot from "./report/svg_plot.ts";
