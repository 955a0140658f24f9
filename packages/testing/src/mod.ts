/**
 * Stand-ins of what surrounds the system, for tests and benchmarks.
 *
 * @module
 */
export * as fleetModel from "./fleet_model.ts";
export * as memoryStore from "./memory_store.ts";
export * as modelPlatform from "./model_platform.ts";
export * as platformFaults from "./platform_faults.ts";
export * as platformFleet from "./platform_fleet.ts";
export * as platformServer from "./platform_server.ts";
export * as platformStore from "./platform_store.ts";
export * as virtualTime from "./virtual_time.ts";
