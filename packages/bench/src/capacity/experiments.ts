/**
 * The measurements from which `docs/CAPACITY.md` derives the capacity of the system.
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

/** All measurements by their name on the command line. */
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
