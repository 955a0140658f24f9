/**
 * Reads configurations from TOML text. Several files form one configuration; all faults are
 * reported at once.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as toml from "smol-toml";
import * as v from "valibot";
import type { Finding } from "./findings.ts";

/** One file of a configuration. */
export interface ConfigFile {
  readonly file: string;
  readonly text: string;
}

/** Objects as written, before defaults, so that omitted fields differ from explicit defaults. */
export type ConfigTables = Readonly<Record<string, Readonly<Record<string, object>>>>;

/** Fields that operator commands change at run time; a file that omits them keeps their value. */
const OPERATIONAL_FIELDS: Partial<Record<schema.config.ObjectKind, readonly string[]>> = {
  keys: ["withdrawn"],
  backendServers: ["draining"],
  maintenanceWaves: ["state"],
};

/** Parses files into tables of objects and checks the objects against their schemas. */
export function parseConfigFiles(
  files: readonly ConfigFile[],
): Result<ConfigTables, readonly Finding[]> {
  const findings: Finding[] = [];
  const tables = Object.create(null) as Record<string, Record<string, object>>;
  for (const file of files) {
    const parsed = parseToml(file);
    if (parsed.isErr()) findings.push(parsed.error);
    else findings.push(...addTables(tables, { file: file.file, value: parsed.value }));
  }
  findings.push(...schemaFindings(tables));
  return findings.length === 0 ? ok(tables) : err(findings);
}

/** Parses files that together form a whole configuration. */
export function parseConfig(
  files: readonly ConfigFile[],
): Result<schema.config.Config, readonly Finding[]> {
  return parseConfigFiles(files).map((tables) => v.parse(schema.config.configSchema, tables));
}

/**
 * Merges tables into a configuration. Objects that the tables don't contain are kept; with `prune`,
 * they are removed if the tables contain objects of their kind.
 */
export function mergeTables(
  base: schema.config.Config,
  { tables, prune }: { tables: ConfigTables; prune: boolean },
): schema.config.Config {
  const merged: Record<string, Record<string, unknown>> = {};
  for (const [kind, objects] of Object.entries(base)) {
    merged[kind] = prune && tables[kind] !== undefined ? {} : { ...objects };
  }
  for (const [kind, objects] of Object.entries(tables)) {
    for (const [name, object] of Object.entries(objects)) {
      const kept = operationalFields(base, { kind: kind as schema.config.ObjectKind, name });
      merged[kind] = { ...merged[kind], [name]: { ...kept, ...object } };
    }
  }
  return v.parse(schema.config.configSchema, merged);
}

function operationalFields(
  base: schema.config.Config,
  { kind, name }: { kind: schema.config.ObjectKind; name: string },
): object {
  const object = base[kind][name];
  if (object === undefined) return {};
  const fields = OPERATIONAL_FIELDS[kind] ?? [];
  return Object.fromEntries(Object.entries(object).filter(([field]) => fields.includes(field)));
}

function parseToml({ file, text }: ConfigFile): Result<Record<string, unknown>, Finding> {
  try {
    return ok(toml.parse(text));
  } catch (cause) {
    const reason = (cause as Error).message.split("\n")[0];
    return err(errorFinding({ kind: file, message: `not valid TOML: ${reason}` }));
  }
}

function addTables(
  tables: Record<string, Record<string, object>>,
  { file, value }: { file: string; value: Record<string, unknown> },
): readonly Finding[] {
  const findings: Finding[] = [];
  for (const [kind, objects] of Object.entries(value)) {
    if (typeof objects !== "object" || objects === null || Array.isArray(objects)) {
      findings.push(errorFinding({ kind, message: `must be a table of objects in ${file}` }));
      continue;
    }
    const table = tables[kind] ??= Object.create(null) as Record<string, object>;
    for (const [name, object] of Object.entries(objects)) {
      if (Object.hasOwn(table, name)) {
        findings.push(errorFinding({ kind, name, message: `is defined again in ${file}` }));
      }
      table[name] = object;
    }
  }
  return findings;
}

function schemaFindings(tables: ConfigTables): readonly Finding[] {
  const parsed = v.safeParse(schema.config.configSchema, tables);
  if (parsed.success) return [];
  return parsed.issues.map((issue) => {
    const [kind = "", name = "", ...rest] = (issue.path ?? []).map((item) => String(item.key));
    return errorFinding({ kind, name, field: rest.join("."), message: issue.message });
  });
}

function errorFinding(
  { kind, name = "", field = "", message }: {
    kind: string;
    name?: string;
    field?: string;
    message: string;
  },
): Finding {
  const promise = "configuration-in-force";
  return { severity: "error", kind, name, field, message, promise };
}
