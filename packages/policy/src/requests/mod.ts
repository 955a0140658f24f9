/**
 * Decisions of the request path: order of starts, routing, retries, ejection, and what callers are told.
 *
 * @module
 */
export * as dispatcher from "./dispatcher.ts";
export * as leaving from "./leaving.ts";
export * as line from "./line.ts";
export * as outcome from "./outcome.ts";
export * as outliers from "./outliers.ts";
export * as retry from "./retry.ts";
export * as routing from "./routing.ts";
export * as runEstimate from "./run_estimate.ts";
