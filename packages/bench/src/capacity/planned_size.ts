/**
 * The size that the operators plan for, and configurations of the same proportions for any number
 * of teams.
 *
 * @module
 */
import { createHash } from "node:crypto";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";

/** The planned size, with assumptions for what the plan leaves open. */
export const PLANNED = {
  workers: 7_400,
  teams: 370,
  pools: 79,
  configChangesPerDay: 19_000,
  vmRestartsPerDay: 2_300,
  /** The number that the first users have per service. */
  backendServersPerPool: 8,
  sharesPerTeam: 4,
  keysPerTeam: 5,
} as const;

/** The numbers of teams at which figures are measured. */
export const TEAM_COUNTS: readonly number[] = [10, 100, 370, 1_000];

const AVAILABILITY_ZONES = 8;
const SLOTS = 8;
const LIMIT = 64;

/**
 * Generates a configuration with `teams` teams, and pools and services in the planned proportion.
 */
export function plannedConfig(teams: number): schema.config.Config {
  const pools = Math.max(1, Math.round(PLANNED.pools * teams / PLANNED.teams));
  const teamNames = numberedNames("team", teams);
  const poolNames = numberedNames("pool", pools);
  return v.parse(schema.config.configSchema, {
    workspaces: { planned: {} },
    teams: recordOf(teamNames, () => ({ workspace: "planned" })),
    keys: Object.fromEntries(teamNames.flatMap(keysOf)),
    pools: { ...recordOf(poolNames, () => ({})), spare: { spare: true } },
    services: recordOf(poolNames, (pool) => ({ pool })),
    queues: recordOf(poolNames, (service) => ({ service })),
    shares: Object.fromEntries(
      teamNames.flatMap((team, index) => sharesOf(team, { index, poolNames })),
    ),
    limits: recordOf(teamNames, (team) => ({ team, maxRunningRequests: LIMIT })),
    availabilityBudgets: recordOf(poolNames, (pool) => ({ pool, maxUnavailable: 1 })),
    backendServers: Object.fromEntries(
      poolNames.flatMap((service, index) => backendServersOf(service, index)),
    ),
  });
}

/**
 * Returns the configuration with the key at `index` withdrawn, the most frequent kind of change; a
 * key that is already withdrawn is restored.
 */
export function withToggledKey(
  config: schema.config.Config,
  index: number,
): schema.config.Config {
  const names = Object.keys(config.keys);
  const name = names[index % names.length]!;
  const key = config.keys[name]!;
  return { ...config, keys: { ...config.keys, [name]: { ...key, withdrawn: !key.withdrawn } } };
}

function numberedNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

function keysOf(team: string): [string, object][] {
  return numberedNames(`${team}-key`, PLANNED.keysPerTeam).map((name) => {
    const secretSha256 = createHash("sha256").update(name).digest("hex");
    return [name, { team, secretSha256 }];
  });
}

function sharesOf(
  team: string,
  { index, poolNames }: { index: number; poolNames: readonly string[] },
): [string, object][] {
  const count = Math.min(PLANNED.sharesPerTeam, poolNames.length);
  return Array.from({ length: count }, (_, offset) => {
    const pool = poolNames[(index * count + offset) % poolNames.length]!;
    return [`${team}-${pool}`, { team, pool, weight: 1 + index % 3 }];
  });
}

function backendServersOf(service: string, poolIndex: number): [string, object][] {
  return numberedNames(service, PLANNED.backendServersPerPool).map((name, index) => {
    const port = 20_000 + index;
    const host = `10.0.${poolIndex % 256}.${Math.floor(poolIndex / 256) + 1}`;
    const availabilityZone = `zone-${index % AVAILABILITY_ZONES + 1}`;
    const address = `${host}:${port}`;
    return [name, { service, address, vm: `vm-${name}`, availabilityZone, slots: SLOTS }];
  });
}

function recordOf<TValue>(
  names: readonly string[],
  make: (name: string) => TValue,
): Record<string, TValue> {
  return Object.fromEntries(names.map((name) => [name, make(name)]));
}
