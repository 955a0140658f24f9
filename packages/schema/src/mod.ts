/**
 * Schemas of every object, record, message and setting, with the types inferred from them.
 *
 * @module
 */

// Public: other packages use these.
export * as claims from "./claims.ts";
export * as config from "./config.ts";
export * as errors from "./errors.ts";
export * as fleet from "./fleet.ts";
export * as head from "./head.ts";
export * as http from "./http.ts";
export * as names from "./names.ts";
export * as operator from "./operator.ts";
export * as peer from "./peer.ts";
export * as scheduling from "./scheduling.ts";
export * as settings from "./settings.ts";
export * as storeKeys from "./store_keys.ts";
