/**
 * Decisions about VM operations, maintenance waves, availability budgets and job placement.
 *
 * @module
 */
export * as assignments from "./assignments.ts";
export * as budgets from "./budgets.ts";
export * as losses from "./losses.ts";
export * as placement from "./placement/place.ts";
export * as quarantine from "./quarantine.ts";
export * as sizeEstimates from "./size_estimates.ts";
export * as sizing from "./sizing.ts";
export * as taskIds from "./task_ids.ts";
export * as vmSteps from "./vm_steps.ts";
export * as vmTransitions from "./vm_transitions.ts";
export * as waveOrder from "./wave_order.ts";
export * as waveProgress from "./wave_progress.ts";
export * as workersIndex from "./placement/workers_index.ts";
