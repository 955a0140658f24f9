/**
 * What the checks of a configuration share.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding } from "../findings.ts";

/** Looks at a whole configuration for faults of one sort. */
export type Check = (config: schema.config.Config) => readonly Finding[];

/** Where a finding is. */
export type FindingLocation = Pick<Finding, "kind" | "name" | "field" | "promise">;

/** A fault that prevents publishing. */
export function error(place: FindingLocation, message: string): Finding {
  return { severity: "error", ...place, message };
}

/** A fault that does not prevent publishing. */
export function warning(place: FindingLocation, message: string): Finding {
  return { severity: "warning", ...place, message };
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

/** The backend servers of a pool with their names; those of unknown services belong to none. */
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
