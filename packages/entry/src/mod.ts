/**
 * The parts of `jackdawlink-entry`.
 *
 * @module
 */
export * as permitManager from "./permit_manager.ts";
