/**
 * Pure decisions: state, event and time go in, new state and effects come out.
 *
 * @module
 */
export * as permitGroups from "./permits/groups.ts";
export * as permits from "./permits/member.ts";
export * as permitCoordinators from "./permits/coordinator_set.ts";
export * as rendezvous from "./rendezvous.ts";
export * as maxMin from "./sharing/max_min.ts";
export * as teamTargets from "./sharing/targets.ts";
