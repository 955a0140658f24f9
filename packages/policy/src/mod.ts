/**
 * Decisions without I/O, clock or randomness: state, event and time in, new state and effects out.
 *
 * @module
 */
export * as claimIds from "./claims/ids.ts";
export * as claimShard from "./claims/shard.ts";
export * as rendezvous from "./rendezvous.ts";
