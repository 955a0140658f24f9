/**
 * Types and helpers shared by the configuration checks.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding } from "../findings.ts";

/** Checks a whole configuration for one kind of fault. */
export type Check = (config: schema.config.Config) => readonly Finding[];

/** The object and field of a finding, and the promise that it would break. */
export type FindingLocation = Pick<Finding, "kind" | "name" | "field" | "promise">;

/** Creates a finding that prevents publishing. */
export function error(location: FindingLocation, message: string): Finding {
  return { severity: "error", ...location, message };
}

/** Creates a finding that does not prevent publishing. */
export function warning(location: FindingLocation, message: string): Finding {
  return { severity: "warning", ...location, message };
}

/** Groups items by a key, in the order in which the keys first appear. */
export function groupBy<TItem>(
  items: Iterable<TItem>,
  keyOf: (item: TItem) => string,
): Map<string, TItem[]> {
  const groups = new Map<string, TItem[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

/** The backend servers of a pool, with their names. Servers of unknown services are in no pool. */
export function backendServersOf(
  config: schema.config.Config,
  pool: string,
): readonly [string, schema.config.BackendServer][] {
  return Object.entries(config.backendServers)
    .filter(([, server]) => config.services[server.service]?.pool === pool);
}

/** One backend server for each VM of a pool. */
export function vmsOf(
  config: schema.config.Config,
  pool: string,
): readonly schema.config.BackendServer[] {
  const servers = backendServersOf(config, pool).map(([, server]) => server);
  return [...new Map(servers.map((server) => [server.vm, server])).values()];
}
