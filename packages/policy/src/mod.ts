/**
 * Decision logic without I/O, clock or randomness. Callers pass in state, events and the time, and
 * carry out the returned effects.
 *
 * @module
 */

// Public: used by other packages.
export * as acceptance from "./membership/acceptance.ts";
export * as idempotencyKeys from "./claims/idempotency_keys.ts";
export * as claimShard from "./claims/shard.ts";
export * as configAssembler from "./config_assembler.ts";
export * as configCheck from "./config_check.ts";
export * as configChunks from "./config_chunks.ts";
export * as configDiff from "./config_diff.ts";
export * as configEdits from "./config_edits.ts";
export * as configText from "./config_text.ts";
export * as findings from "./findings.ts";
export * as fleet from "./fleet/mod.ts";
export * as freshness from "./membership/freshness.ts";
export * as headChanges from "./membership/head_changes.ts";
export * as memberState from "./membership/member_state.ts";
export * as membership from "./membership/membership.ts";
export * as permitCoordinators from "./permits/coordinator_set.ts";
export * as permitGroups from "./permits/groups.ts";
export * as permits from "./permits/member.ts";
export * as rendezvous from "./rendezvous.ts";
export * as requests from "./requests/mod.ts";
export * as scheduling from "./scheduling/mod.ts";

// Internal: for tests, stand-ins and experiments only.
export * as canonicalJson from "./canonical_json.ts";
export * as maxMin from "./sharing/max_min.ts";
export * as permitCoordinator from "./permits/coordinator.ts";
export * as permitGroupPlan from "./permits/group_plan.ts";
export * as teamTargets from "./sharing/targets.ts";
