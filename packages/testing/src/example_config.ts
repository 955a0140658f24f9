/**
 * Generates a small example configuration for tests and the quickstart.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type * as schema from "@jackdawlink/schema";

/** Size of the example configuration. */
export interface ExampleOptions {
  readonly availabilityZones: readonly string[];
  readonly services: readonly string[];
  readonly backendServersPerService: number;
  /** The weight and the limit of each team. */
  readonly teams: Readonly<Record<string, { weight: number; maxRunningRequests?: number }>>;
}

/** The secret of a team's key in example configurations. */
export function exampleSecret(team: string): string {
  return `example-secret-${team}`;
}

/** Pairs each team with the secret of its key, in the form that `Traffic` takes. */
export function exampleKeys(teams: readonly string[]): { team: string; key: string }[] {
  return teams.map((team) => ({ team, key: exampleSecret(team) }));
}

/** One workspace; a pool and a queue for each service; a key and a limit for each team. */
export function exampleConfig(options: ExampleOptions): schema.config.ConfigInput {
  const { services, teams } = options;
  const teamNames = Object.keys(teams);
  const shares = services.flatMap((service) =>
    teamNames.map((team) =>
      [`${team}-${service}`, { team, pool: service, weight: teams[team]!.weight }] as const
    )
  );
  return {
    workspaces: { example: { displayName: "Example" } },
    teams: tableOf(teamNames, () => ({ workspace: "example" })),
    keys: tableOf(teamNames, (team) => ({ team, secretSha256: sha256(exampleSecret(team)) })),
    pools: { ...tableOf(services, () => ({})), spare: { spare: true } },
    services: tableOf(services, (pool) => ({ pool })),
    queues: tableOf(services, (service) => ({ service })),
    shares: Object.fromEntries(shares),
    limits: tableOf(teamNames, (team) => {
      const { maxRunningRequests = 64 } = teams[team]!;
      return { team, maxRunningRequests };
    }),
    backendServers: backendServersOf(options),
  };
}

function backendServersOf(
  { services, backendServersPerService, availabilityZones }: ExampleOptions,
): NonNullable<schema.config.ConfigInput["backendServers"]> {
  const servers = services.flatMap((service, serviceIndex) =>
    Array.from({ length: backendServersPerService }, (_, index) => {
      const name = `${service}-${index + 1}`;
      const availabilityZone = availabilityZones[index % availabilityZones.length]!;
      const port = 20_000 + serviceIndex * 100 + index;
      return [name, { service, address: `127.0.0.1:${port}`, vm: `vm-${name}`, availabilityZone }];
    })
  );
  return Object.fromEntries(servers);
}

function tableOf<TValue>(
  names: readonly string[],
  make: (name: string) => TValue,
): Record<string, TValue> {
  return Object.fromEntries(names.map((name) => [name, make(name)]));
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
