/**
 * The entry: callers and backend servers on one side, peers and the platform store on the other.
 *
 * @module
 */

// Internal: for tests, stand-ins and experiments only.
export * as callerFrontend from "./caller_frontend.ts";
export * as entry from "./entry.ts";
export * as httpListener from "./http_listener.ts";
export * as operatorServer from "./operator_server.ts";
export * as permitManager from "./permit_manager.ts";
export * as requests from "./requests/mod.ts";
