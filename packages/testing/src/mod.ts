/**
 * Stand-ins for the systems around jackdawlink, for tests and experiments; never shipped.
 *
 * @module
 */
export * as manualClock from "./manual_clock.ts";
export * as memoryStore from "./memory_store.ts";
 * Stand-ins of what surrounds the system, for tests and benchmarks.
 *
 * @module
 */
export * as platformFaults from "./platform_faults.ts";
export * as platformServer from "./platform_server.ts";
export * as platformStore from "./platform_store.ts";
