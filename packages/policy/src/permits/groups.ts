/**
 * The groups of resources that a configuration makes. One coordinator looks after a whole group: a
 * team's limit, or the slots of all backend servers of a service.
 *
 * @module
 */
import type { config as configs } from "@jackdawlink/schema";
import type * as targets from "../sharing/targets.ts";

/** One group with its resources. */
export interface Group {
  readonly group: string;
  /** The service whose slots these are; null for a team's limit. */
  readonly service: string | null;
  /** Concurrent requests that each resource permits. */
  readonly totals: ReadonlyMap<string, number>;
  /** The longest run of a request that may hold one of the permits. */
  readonly maxRunMs: number;
  readonly ruleOf: (team: string) => targets.TeamRule | undefined;
}

/** The group of a team's limit, which is also its one resource. */
export function teamGroup(team: string): string {
  return `team:${team}`;
}

/** The group of a service's slots. */
export function serviceGroup(service: string): string {
  return `service:${service}`;
}

/** The slots of one backend server. A backend server that changes its service is another resource. */
export function slotsResource(service: string, backendServer: string): string {
  return `slots:${service}/${backendServer}`;
}

/** All groups of a configuration, by name. */
export function groupsOf(config: configs.Config): ReadonlyMap<string, Group> {
  const groups = new Map<string, Group>();
  const limits = limitsOf(config);
  const longestRunMs = Math.max(0, ...Object.values(config.services).map((it) => it.maxRunMs));
  for (const [team, limit] of limits) {
    const group = teamGroup(team);
    const totals = new Map([[group, limit]]);
    groups.set(group, { group, service: null, totals, maxRunMs: longestRunMs, ruleOf: noRule });
  }
  for (const [name, service] of Object.entries(config.services)) {
    const group = serviceGroup(name);
    groups.set(group, {
      group,
      service: name,
      totals: slotTotals(config, name),
      maxRunMs: service.maxRunMs,
      ruleOf: teamRules(config, { pool: service.pool, limits }),
    });
  }
  return groups;
}

/** Where several limits name one team, the lowest holds. */
function limitsOf(config: configs.Config): Map<string, number> {
  const limits = new Map<string, number>();
  for (const limit of Object.values(config.limits)) {
    if (limit.maxRunningRequests === undefined) continue;
    const known = limits.get(limit.team) ?? Infinity;
    limits.set(limit.team, Math.min(known, limit.maxRunningRequests));
  }
  return limits;
}

/** A draining backend server gets nothing new. One request runs on one connection. */
function slotTotals(config: configs.Config, service: string): Map<string, number> {
  const totals = new Map<string, number>();
  for (const [name, server] of Object.entries(config.backendServers)) {
    if (server.service !== service) continue;
    const total = server.draining ? 0 : Math.min(server.slots, server.connections);
    totals.set(slotsResource(service, name), total);
  }
  return totals;
}

function teamRules(
  config: configs.Config,
  options: { pool: string; limits: ReadonlyMap<string, number> },
): (team: string) => targets.TeamRule | undefined {
  const rules = new Map<string, targets.TeamRule>();
  for (const share of Object.values(config.shares)) {
    if (share.pool !== options.pool) continue;
    const limit = options.limits.get(share.team) ?? null;
    rules.set(share.team, { weight: share.weight, limit });
  }
  for (const [team, limit] of options.limits) {
    if (!rules.has(team)) rules.set(team, { weight: 1, limit });
  }
  return (team) => rules.get(team);
}

function noRule(): undefined {
  return undefined;
}
