/**
 * The entry: accepts callers' requests and sends them to backend servers. Entries coordinate
 * through peer links and the platform store.
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
