/**
 * Pure decisions: state, event and time in; new state and effects out.
 *
 * @module
 */
export * as fleet from "./fleet/mod.ts";
