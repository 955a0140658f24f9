/**
 * The steward, which manages VMs in pools, maintenance waves and jobs on workers.
 *
 * @module
 */

// Internal: for tests, stand-ins and experiments only.
export * as callerHttp from "./caller_http.ts";
export * as decisionLog from "./decision_log.ts";
export * as fleetState from "./fleet_state.ts";
export * as jobManager from "./job_manager.ts";
export * as jobSegments from "./job_segments.ts";
export * as metrics from "./metrics.ts";
export * as operatorHttp from "./operator_http.ts";
export * as steward from "./steward.ts";
