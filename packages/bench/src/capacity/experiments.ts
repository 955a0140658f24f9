/**
 * Slopes from which the size that the system carries is worked out; `docs/CAPACITY.md` shows them.
 *
 * @module
 */
import * as claimSlopes from "./claim_slopes.ts";
import * as commandSlopes from "./command_slopes.ts";
import * as configSlopes from "./config_slopes.ts";
import * as entrySlopes from "./entry_slopes.ts";
import * as memberSlopes from "./member_slopes.ts";
import * as permitSlopes from "./permit_slopes.ts";
import * as requestSlopes from "./request_slopes.ts";
import type { CapacityExperiment } from "./slope.ts";

/** All experiments, by name. */
export const EXPERIMENTS: Readonly<Record<string, CapacityExperiment>> = {
  config: configSlopes.run,
  members: memberSlopes.run,
  permits: permitSlopes.run,
  claims: claimSlopes.run,
  requests: requestSlopes.run,
  idle: entrySlopes.runIdle,
  teams: entrySlopes.runTeams,
  changes: entrySlopes.runChanges,
  commands: commandSlopes.run,
};
