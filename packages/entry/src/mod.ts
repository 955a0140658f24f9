/**
 * The parts of `jackdawlink-entry`.
 *
 * @module
 */
export * as permitManager from "./permit_manager.ts";
 * The entry: callers' requests on one side, backend servers and peers on the other.
 *
 * @module
 */
export * as requests from "./requests/mod.ts";
 * The entry: callers' requests on one side, backend servers and peers on the other.
 *
 * @module
 */
export * as callerSide from "./caller_side.ts";
export * as entry from "./entry.ts";
export * as httpListener from "./http_listener.ts";
export * as operatorServer from "./operator_server.ts";
