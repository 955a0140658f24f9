/**
 * Stand-ins for the systems around jackdawlink, in-process models, a fault proxy, and a harness for
 * child processes. Used by tests and experiments only; not part of a release.
 *
 * @module
 */
export * as backendServer from "./backend_server.ts";
export * as backendServerClient from "./backend_server_client.ts";
export * as backendServerFaults from "./backend_server_faults.ts";
export * as backendServerRecord from "./backend_server_record.ts";
export * as balancer from "./balancer.ts";
export * as caller from "./caller.ts";
export * as exampleConfig from "./example_config.ts";
export * as faultProxy from "./fault_proxy.ts";
export * as faultProxyControl from "./fault_proxy_control.ts";
export * as fleetModel from "./fleet_model.ts";
export * as freePorts from "./free_ports.ts";
export * as memoryStore from "./memory_store.ts";
export * as modelPlatform from "./model_platform.ts";
export * as platformFaults from "./platform_faults.ts";
export * as platformFleet from "./platform_fleet.ts";
export * as platformServer from "./platform_server.ts";
export * as platformStore from "./platform_store.ts";
export * as processes from "./processes.ts";
export * as runTimes from "./run_times.ts";
export * as runWitness from "./scheduling_model/run_witness.ts";
export * as modelFleet from "./scheduling_model/model_fleet.ts";
export * as modelStore from "./scheduling_model/model_store.ts";
export * as schedulingFixtures from "./scheduling_model/fixtures.ts";
export * as seededRandom from "./seeded_random.ts";
export * as sizingTrace from "./sizing_trace.ts";
export * as testClock from "./test_clock.ts";
export * as testSystem from "./test_system.ts";
export * as traffic from "./traffic.ts";
export * as virtualTime from "./virtual_time.ts";
export * as waitFor from "./wait_for.ts";
export * as witness from "./witness.ts";
