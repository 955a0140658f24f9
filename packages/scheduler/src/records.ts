/**
 * Decoding of the scheduler's own records.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/** The record, or an error where another program has written something else. */
export function decodeRecord<TSchema extends v.GenericSchema>(
  shape: TSchema,
  text: string,
): Result<v.InferOutput<TSchema>, schema.errors.JackdawlinkError> {
  try {
    const parsed = v.safeParse(shape, JSON.parse(text));
    return parsed.success
      ? ok(parsed.output)
      : err(new schema.errors.InvalidInputError("A stored record does not fit its schema"));
  } catch (cause) {
    return err(new schema.errors.InvalidInputError("A stored record is not JSON", { cause }));
  }
}
