/**
 * Runs all checks on a configuration and reports all findings at once.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as backendServers from "./checks/backend_servers.ts";
import type { Check } from "./checks/check.ts";
import * as maintenance from "./checks/maintenance.ts";
import * as references from "./checks/references.ts";
import * as teams from "./checks/teams.ts";
import type { Finding } from "./findings.ts";

/** Every check, by name. */
export const CHECKS: Readonly<Record<string, Check>> = {
  references: references.checkReferences,
  vms: backendServers.checkVms,
  addresses: backendServers.checkAddresses,
  connections: backendServers.checkConnections,
  services: backendServers.checkServices,
  keyDigests: teams.checkKeyDigests,
  shares: teams.checkShares,
  teamsWithoutShares: teams.checkTeamsWithoutShares,
  limits: teams.checkLimits,
  limitsAgainstShares: teams.checkLimitsAgainstShares,
  sparePool: maintenance.checkSparePool,
  budgets: maintenance.checkBudgets,
  waves: maintenance.checkWaves,
  runningWaves: maintenance.checkRunningWaves,
};

/** All findings of a configuration; errors come before warnings. */
export function checkConfig(config: schema.config.Config): readonly Finding[] {
  const findings = Object.values(CHECKS).flatMap((check) => check(config));
  return [...findings.filter(isError), ...findings.filter((finding) => !isError(finding))];
}

/** Findings on the change from the published configuration, beside those of `checkConfig`. */
export function checkChange(
  before: schema.config.Config,
  after: schema.config.Config,
): readonly Finding[] {
  return backendServers.checkServiceChanges(before, after);
}

/** Whether a finding prevents publishing. */
export function isError(finding: Finding): boolean {
  return finding.severity === "error";
}
