/**
 * Derives the groups of resources from a configuration. A group is either a team's limit or the
 * slots of all backend servers of a service, and has one coordinator.
 *
 * @module
 */
import type { config as configs } from "@jackdawlink/schema";
import type * as targets from "../sharing/targets.ts";

/** One group of resources with their totals and the sharing rules of teams. */
export interface Group {
  readonly group: string;
  /** The service that the slots belong to; null for a team's limit. */
  readonly service: string | null;
  /** The maximum number of concurrent requests by resource. */
  readonly totals: ReadonlyMap<string, number>;
  /** The maximum run time of a request that may hold one of the permits. */
  readonly maxRunMs: number;
  /** The weight and limit of a team; undefined for a team without either, and in a team's group. */
  readonly ruleOf: (team: string) => targets.TeamRule | undefined;
}

/** The name of the group of a team's limit, and of the group's only resource. */
export function teamGroup(team: string): string {
  return `team:${team}`;
}

/** The name of the group of a service's slots. */
export function serviceGroup(service: string): string {
  return `service:${service}`;
}

/**
 * The name of the resource for the slots of one backend server. It contains the service, so that a
 * backend server that is moved to another service becomes a new resource.
 */
export function slotsResource(service: string, backendServer: string): string {
  return `slots:${service}/${backendServer}`;
}

/** Returns all groups of a configuration, by name. */
export function groupsOf(config: configs.Config): ReadonlyMap<string, Group> {
  const groups = new Map<string, Group>();
  const limits = limitsOf(config);
  const serversByService = serversOf(config);
  const sharesByPool = sharesOf(config);
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
      totals: slotTotals(name, serversByService.get(name) ?? []),
      maxRunMs: service.maxRunMs,
      ruleOf: teamRules(sharesByPool.get(service.pool) ?? new Map(), limits),
    });
  }
  return groups;
}

/** The limits of teams; the lowest one if several apply to the same team. */
function limitsOf(config: configs.Config): Map<string, number> {
  const limits = new Map<string, number>();
  for (const limit of Object.values(config.limits)) {
    if (limit.maxRunningRequests === undefined) continue;
    const known = limits.get(limit.team) ?? Infinity;
    limits.set(limit.team, Math.min(known, limit.maxRunningRequests));
  }
  return limits;
}

type NamedServer = readonly [string, configs.BackendServer];

function serversOf(config: configs.Config): Map<string, NamedServer[]> {
  const byService = new Map<string, NamedServer[]>();
  for (const named of Object.entries(config.backendServers)) {
    const servers = byService.get(named[1].service);
    if (servers === undefined) byService.set(named[1].service, [named]);
    else servers.push(named);
  }
  return byService;
}

/** The weights of the teams' shares, by pool and team. */
function sharesOf(config: configs.Config): Map<string, Map<string, number>> {
  const byPool = new Map<string, Map<string, number>>();
  for (const { pool, team, weight } of Object.values(config.shares)) {
    const weights = byPool.get(pool) ?? new Map<string, number>();
    byPool.set(pool, weights.set(team, weight));
  }
  return byPool;
}

/**
 * The slots of each backend server: none while it is draining, and no more than its connections, as
 * each request needs one.
 */
function slotTotals(service: string, servers: readonly NamedServer[]): Map<string, number> {
  const totals = new Map<string, number>();
  for (const [name, server] of servers) {
    const total = server.draining ? 0 : Math.min(server.slots, server.connections);
    totals.set(slotsResource(service, name), total);
  }
  return totals;
}

/** The rules of teams. A team with a limit but without a share has the weight 1. */
function teamRules(
  weights: ReadonlyMap<string, number>,
  limits: ReadonlyMap<string, number>,
): (team: string) => targets.TeamRule | undefined {
  return (team) => {
    const weight = weights.get(team);
    const limit = limits.get(team);
    if (weight === undefined && limit === undefined) return undefined;
    return { weight: weight ?? 1, limit: limit ?? null };
  };
}

function noRule(): undefined {
  return undefined;
}
