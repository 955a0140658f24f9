/**
 * Decisions of the request path: dispatch order, routing, retries, outlier ejection, and the
 * outcomes reported to callers.
 *
 * @module
 */
export * as dispatcher from "./dispatcher.ts";
export * as serverCooldowns from "./server_cooldowns.ts";
export * as requestQueue from "./request_queue.ts";
export * as outcome from "./outcome.ts";
export * as outlierDetector from "./outlier_detector.ts";
export * as retry from "./retry.ts";
export * as routing from "./routing.ts";
export * as runTimeEstimate from "./run_time_estimate.ts";
