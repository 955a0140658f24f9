/**
 * Stand-ins for the systems around jackdawlink, for tests and experiments; never shipped.
 *
 * @module
 */
export * as manualClock from "./manual_clock.ts";
export * as memoryStore from "./memory_store.ts";
