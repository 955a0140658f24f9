/**
 * Interfaces between the decision logic and external systems. Adapters implement them; tests use
 * fakes.
 *
 * @module
 */

// Public: other packages use these.
export type * as claims from "./claims.ts";
export type * as clock from "./clock.ts";
export type * as log from "./log.ts";
export type * as members from "./members.ts";
export type * as peers from "./peers.ts";
export type * as permits from "./permits.ts";
export type * as platform from "./platform.ts";
export type * as scheduling from "./scheduling.ts";
export type * as store from "./store.ts";
