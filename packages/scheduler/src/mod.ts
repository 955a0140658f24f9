/**
 * The scheduler: nodes that serve callers, one of which is elected owner and runs jobs on workers.
 *
 * @module
 */
export * as callerService from "./caller_service.ts";
export * as metrics from "./metrics.ts";
export * as node from "./node.ts";
