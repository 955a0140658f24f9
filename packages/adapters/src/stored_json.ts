/**
 * Decodes JSON values from the store.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/** A stored value is not JSON or does not match its schema. */
export const StoredValueError = schema.errors.InvalidInputError.subclass("StoredValueError");

/** Parses and validates a stored JSON value; `key` identifies it in error messages. */
export function decodeStored<TSchema extends v.GenericSchema>(
  { key, value }: { readonly key: string; readonly value: string },
  valueSchema: TSchema,
): Result<v.InferOutput<TSchema>, schema.errors.JackdawlinkError> {
  try {
    const parsed = v.safeParse(valueSchema, JSON.parse(value));
    if (parsed.success) return ok(parsed.output);
    const issue = parsed.issues[0];
    const path = v.getDotPath(issue) ?? "";
    return err(
      new StoredValueError(`The stored value ${key} is malformed: ${path}: ${issue.message}`),
    );
  } catch (cause) {
    return err(new StoredValueError(`The stored value ${key} is not JSON`, { cause }));
  }
}
