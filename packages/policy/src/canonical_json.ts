/**
 * Canonical JSON: object keys are sorted, so that equal values have equal text.
 *
 * @module
 */

/** Serializes a value with the keys of every object sorted. Undefined fields are omitted. */
export function stringifyCanonically(value: unknown): string {
  return JSON.stringify(value, (_name, field: unknown) => sortNames(field));
}

function sortNames(field: unknown): unknown {
  if (typeof field !== "object" || field === null || Array.isArray(field)) return field;
  const entries = Object.entries(field).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}
