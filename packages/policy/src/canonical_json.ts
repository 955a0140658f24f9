/**
 * JSON text with sorted names, so that equal values have equal text.
 *
 * @module
 */

/** Writes a JSON value with the names of every object in order. Undefined fields are left out. */
export function stringifyCanonically(value: unknown): string {
  return JSON.stringify(value, (_name, field: unknown) => sortNames(field));
}

function sortNames(field: unknown): unknown {
  if (typeof field !== "object" || field === null || Array.isArray(field)) return field;
  const entries = Object.entries(field).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}
