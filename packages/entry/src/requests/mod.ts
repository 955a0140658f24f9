/**
 * The request path: serves requests of callers by running them on backend servers.
 *
 * @module
 */
export * as backendConnections from "./backend_connections.ts";
export * as callerServer from "./caller_server.ts";
export * as requestPath from "./request_path.ts";
export * as requestTrace from "./request_trace.ts";
