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
