/**
 * Decisions as pure code: state, event and time in; new state and effects out.
 *
 * @module
 */
export * as acceptance from "./membership/acceptance.ts";
export * as freshness from "./membership/freshness.ts";
export * as headChanges from "./membership/head_changes.ts";
export * as memberState from "./membership/member_state.ts";
export * as membership from "./membership/membership.ts";
