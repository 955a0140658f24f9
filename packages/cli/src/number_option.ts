/**
 * Parses numeric options.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

const countTextSchema = v.pipe(
  v.string(),
  v.digits(),
  v.transform(Number),
  schema.names.countSchema,
);

/** Parses a whole number of zero or more; `option` is its name in the error message. */
export function parseCount(
  option: string,
  text: string,
): Result<number, schema.errors.JackdawlinkError> {
  const parsed = v.safeParse(countTextSchema, text);
  if (parsed.success) return ok(parsed.output);
  const message = `${option} must be a whole number of zero or more, not "${text}"`;
  return err(new schema.errors.InvalidInputError(message));
}
