/**
 * The differences between two configurations, object by object.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { stringifyCanonically } from "./canonical_json.ts";

/** One field that differs; `before` or `after` is undefined if that side doesn't set it. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** One object that differs. Added and removed objects list no fields. */
export interface ObjectChange {
  readonly kind: schema.config.ObjectKind;
  readonly name: string;
  readonly change: "added" | "removed" | "changed";
  readonly fields: readonly FieldChange[];
}

type Fields = Readonly<Record<string, unknown>>;
type Table = Readonly<Record<string, Fields>>;

/** The kinds of objects, in the order of the schema. */
export const OBJECT_KINDS = Object.keys(
  schema.config.configSchema.entries,
) as schema.config.ObjectKind[];

/** What changes from one configuration to another, in the order of kinds and names. */
export function diffConfigs(
  before: schema.config.Config,
  after: schema.config.Config,
): readonly ObjectChange[] {
  return OBJECT_KINDS.flatMap((kind) =>
    diffTables(kind, { before: before[kind], after: after[kind] })
  );
}

/** One line for each change, such as `~ limits/billing maxRunningRequests: 4 -> 6`. */
export function describeChange(change: ObjectChange): string {
  const signs = { added: "+", removed: "-", changed: "~" };
  const fields = change.fields.map(({ field, before, after }) =>
    `${field}: ${JSON.stringify(before) ?? "unset"} -> ${JSON.stringify(after) ?? "unset"}`
  );
  const object = `${signs[change.change]} ${change.kind}/${change.name}`;
  return fields.length === 0 ? object : `${object} ${fields.join(", ")}`;
}

function diffTables(
  kind: schema.config.ObjectKind,
  { before, after }: { before: Table; after: Table },
): readonly ObjectChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name): ObjectChange[] => {
    const old = before[name];
    const current = after[name];
    if (old === undefined) return [{ kind, name, change: "added", fields: [] }];
    if (current === undefined) return [{ kind, name, change: "removed", fields: [] }];
    const fields = diffFields(old, current);
    return fields.length === 0 ? [] : [{ kind, name, change: "changed", fields }];
  });
}

function diffFields(before: Fields, after: Fields): readonly FieldChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names
    .filter((field) => stringifyCanonically(before[field]) !== stringifyCanonically(after[field]))
    .map((field) => ({ field, before: before[field], after: after[field] }));
}
