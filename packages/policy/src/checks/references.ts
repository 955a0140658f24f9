/**
 * Checks references between configuration objects.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding, PromiseId } from "../findings.ts";
import { error } from "./check.ts";

interface Reference {
  readonly kind: schema.config.ObjectKind;
  readonly field: string;
  readonly target: schema.config.ObjectKind;
  readonly promise: PromiseId;
}

const REFERENCES: readonly Reference[] = [
  { kind: "teams", field: "workspace", target: "workspaces", promise: "team-isolation" },
  { kind: "keys", field: "team", target: "teams", promise: "team-isolation" },
  { kind: "services", field: "pool", target: "pools", promise: "one-pool" },
  { kind: "backendServers", field: "service", target: "services", promise: "one-pool" },
  { kind: "shares", field: "team", target: "teams", promise: "fair-share" },
  { kind: "shares", field: "pool", target: "pools", promise: "fair-share" },
  { kind: "limits", field: "team", target: "teams", promise: "team-limit" },
  { kind: "queues", field: "service", target: "services", promise: "on-time" },
  { kind: "queues", field: "openTeam", target: "teams", promise: "team-isolation" },
  { kind: "availabilityBudgets", field: "pool", target: "pools", promise: "availability-budget" },
  { kind: "maintenanceWaves", field: "pools", target: "pools", promise: "availability-budget" },
];

/** Finds references to objects that do not exist. */
export function checkReferences(config: schema.config.Config): readonly Finding[] {
  return REFERENCES.flatMap((reference) => checkReference(config, reference));
}

function checkReference(
  config: schema.config.Config,
  { kind, field, target, promise }: Reference,
): readonly Finding[] {
  const objects: [string, Readonly<Record<string, unknown>>][] = Object.entries(config[kind]);
  return objects.flatMap(([name, object]) =>
    referencedNames(object[field])
      .filter((objectName) => !Object.hasOwn(config[target], objectName))
      .map((objectName) =>
        error({ kind, name, field, promise }, `no ${target} object "${objectName}"`)
      )
  );
}

function referencedNames(field: unknown): readonly string[] {
  if (Array.isArray(field)) return field as string[];
  return field === undefined ? [] : [String(field)];
}
