/**
 * The entry: callers' requests on one side, backend servers and peers on the other.
 *
 * @module
 */
export * as requests from "./requests/mod.ts";
