/**
 * Interfaces between the decisions and the outside. Adapters implement them; tests replace them.
 *
 * @module
 */
export type * as clock from "./clock.ts";
export type * as log from "./log.ts";
export type * as platform from "./platform.ts";
export type * as store from "./store.ts";
