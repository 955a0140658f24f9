/**
 * The scheduler: entries for callers, and one owner at a time that runs jobs on workers.
 *
 * @module
 */
export * as callerService from "./caller_service.ts";
export * as metrics from "./metrics.ts";
export * as node from "./node.ts";
