/**
 * Checks of backend servers, their VMs and their services.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding } from "../findings.ts";
import { error, type FindingLocation, groupBy, warning } from "./check.ts";

type NamedServer = readonly [string, schema.config.BackendServer];

/** Checks that the backend servers of a VM agree on its pool, availability zone and rack. */
export function checkVms(config: schema.config.Config): readonly Finding[] {
  const byVm = groupBy<NamedServer>(
    Object.entries(config.backendServers),
    ([, server]) => server.vm,
  );
  return [...byVm.values()].flatMap((servers) => [
    ...checkPool(config, servers),
    ...checkLocation(servers, "availabilityZone"),
    ...checkLocation(servers, "rack"),
  ]);
}

function checkPool(
  config: schema.config.Config,
  servers: readonly NamedServer[],
): readonly Finding[] {
  const pools = servers.map(([, { service }]) => config.services[service]?.pool);
  const firstPool = pools.find((pool) => pool !== undefined);
  return servers.flatMap(([name, server], index) => {
    const pool = pools[index];
    if (pool === undefined || pool === firstPool) return [];
    const location = { kind: "backendServers", name, field: "vm", promise: "one-pool" } as const;
    return [error(location, `VM "${server.vm}" is in pool "${firstPool}" and in pool "${pool}"`)];
  });
}

function checkLocation(
  servers: readonly NamedServer[],
  field: "availabilityZone" | "rack",
): readonly Finding[] {
  const first = servers[0]?.[1][field];
  return servers
    .filter(([, server]) => server[field] !== first)
    .map(([name, server]) =>
      error(
        { kind: "backendServers", name, field, promise: "availability-budget" },
        `VM "${server.vm}" is in "${first}" and in "${server[field]}"`,
      )
    );
}

/**
 * Checks that a backend server drains before it changes its service. The change gives it new
 * permits, which don't count requests of the old service that are still running.
 */
export function checkServiceChanges(
  before: schema.config.Config,
  after: schema.config.Config,
): readonly Finding[] {
  return Object.entries(after.backendServers).flatMap(([name, { service }]) => {
    const old = before.backendServers[name];
    if (old === undefined || old.service === service || old.draining) return [];
    const location = { kind: "backendServers", name, field: "service", promise: "graceful-stop" };
    const message = `it still serves "${old.service}" and has to be draining before it changes`;
    return [error(location as FindingLocation, message)];
  });
}

/** Checks that no two backend servers have the same address, which would count its slots twice. */
export function checkAddresses(config: schema.config.Config): readonly Finding[] {
  const named: NamedServer[] = Object.entries(config.backendServers);
  return [...groupBy(named, ([, server]) => server.address)].flatMap(([address, servers]) =>
    servers.slice(1).map(([name]) =>
      error(
        { kind: "backendServers", name, field: "address", promise: "own-answer" },
        `address ${address} is also that of "${servers[0]?.[0]}"`,
      )
    )
  );
}

/** Checks that each slot has a connection, since every running request needs its own. */
export function checkConnections(config: schema.config.Config): readonly Finding[] {
  return Object.entries(config.backendServers)
    .filter(([, server]) => server.connections < server.slots)
    .map(([name, { connections, slots }]) =>
      error(
        { kind: "backendServers", name, field: "connections", promise: "own-answer" },
        `${connections} connections are fewer than ${slots} slots`,
      )
    );
}

/** Warns about services without a backend server that accepts work. */
export function checkServices(config: schema.config.Config): readonly Finding[] {
  const servers = Object.values(config.backendServers);
  return Object.keys(config.services).flatMap((name) => {
    const location = { kind: "services", name, field: "", promise: "on-time" } as const;
    const own = servers.filter((server) => server.service === name);
    if (own.length === 0) return [warning(location, "no backend server serves it")];
    const isAllDraining = own.every((server) => server.draining);
    return isAllDraining ? [warning(location, "all its backend servers are draining")] : [];
  });
}
