/**
 * Checks of teams: their keys, shares and limits.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding } from "../findings.ts";
import { backendServersOf, error, type FindingLocation, groupBy, warning } from "./check.ts";

/** Checks that no two keys have the same secret, so that a secret identifies one team. */
export function checkKeyDigests(config: schema.config.Config): readonly Finding[] {
  const byDigest = groupBy(Object.entries(config.keys), ([, key]) => key.secretSha256);
  return [...byDigest.values()].flatMap((keys) =>
    keys.slice(1).map(([name]) =>
      error(
        { kind: "keys", name, field: "secretSha256", promise: "team-isolation" },
        `the secret is also that of key "${keys[0]?.[0]}"`,
      )
    )
  );
}

/** Checks that a team has at most one share, and so one weight, in a pool. */
export function checkShares(config: schema.config.Config): readonly Finding[] {
  const byPair = groupBy(Object.entries(config.shares), ([, { team, pool }]) => `${team} ${pool}`);
  return [...byPair.values()].flatMap((shares) =>
    shares.slice(1).map(([name, { team, pool }]) =>
      error(
        { kind: "shares", name, field: "pool", promise: "fair-share" },
        `share "${shares[0]?.[0]}" also weighs team "${team}" in pool "${pool}"`,
      )
    )
  );
}

/** Warns about teams that have a valid key but no share of any pool. */
export function checkTeamsWithoutShares(config: schema.config.Config): readonly Finding[] {
  const teamsWithShares = new Set(Object.values(config.shares).map((share) => share.team));
  const teamsWithKeys = Object.values(config.keys).filter((key) => !key.withdrawn).map((key) =>
    key.team
  );
  return [...new Set(teamsWithKeys)]
    .filter((team) => Object.hasOwn(config.teams, team) && !teamsWithShares.has(team))
    .map((name) =>
      warning(
        { kind: "teams", name, field: "", promise: "fair-share" },
        "it has a key but no share of any pool",
      )
    );
}

/** Checks that a team has at most one limit, and warns about limits that set no maximum. */
export function checkLimits(config: schema.config.Config): readonly Finding[] {
  const byTeam = groupBy(Object.entries(config.limits), ([, limit]) => limit.team);
  const duplicates = [...byTeam.values()].flatMap((limits) =>
    limits.slice(1).map(([name]) =>
      error(
        { kind: "limits", name, field: "team", promise: "team-limit" },
        `limit "${limits[0]?.[0]}" is of the same team`,
      )
    )
  );
  const emptyLimits = Object.entries(config.limits)
    .filter(([, limit]) =>
      limit.maxRunningRequests === undefined && limit.maxRunningTasks === undefined
    )
    .map(([name]) =>
      warning({ kind: "limits", name, field: "", promise: "team-limit" }, "it limits nothing")
    );
  return [...duplicates, ...emptyLimits];
}

/** Warns about limits below the slots of the team's shares, which it can then never use in full. */
export function checkLimitsAgainstShares(config: schema.config.Config): readonly Finding[] {
  const slots = entitledSlots(config);
  return Object.entries(config.limits).flatMap(([name, { team, maxRunningRequests }]) => {
    const entitled = Math.floor(slots.get(team) ?? 0);
    if (maxRunningRequests === undefined || maxRunningRequests >= entitled) return [];
    const location: FindingLocation = {
      kind: "limits",
      name,
      field: "maxRunningRequests",
      promise: "fair-share",
    };
    const shares = `the ${entitled} slots of the shares of team "${team}"`;
    return [warning(location, `${maxRunningRequests} is below ${shares}`)];
  });
}

/** The slots that each team's shares guarantee while all pools are full. */
function entitledSlots(config: schema.config.Config): Map<string, number> {
  const slots = new Map<string, number>();
  for (const [pool, shares] of groupBy(Object.values(config.shares), (share) => share.pool)) {
    const poolSlots = sum(backendServersOf(config, pool).map(([, server]) => server.slots));
    const poolWeight = sum(shares.map((share) => share.weight));
    for (const { team, weight } of shares) {
      slots.set(team, (slots.get(team) ?? 0) + (poolSlots * weight) / poolWeight);
    }
  }
  return slots;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
