/**
 * Stand-ins of what surrounds the system, for tests and benchmarks.
 *
 * @module
 */
export * as memoryStore from "./memory_store.ts";
export * as platformFaults from "./platform_faults.ts";
export * as platformServer from "./platform_server.ts";
export * as platformStore from "./platform_store.ts";
export * as testClock from "./test_clock.ts";
