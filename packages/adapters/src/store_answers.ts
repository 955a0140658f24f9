/**
 * Parsing and validation of store responses.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { StoreAnswerError } from "./store_errors.ts";

/** Parses the JSON body of a response. */
export function parseJson(
  path: string,
  text: string,
): Result<unknown, schema.errors.JackdawlinkError> {
  try {
    return ok(JSON.parse(text));
  } catch (cause) {
    return err(new StoreAnswerError(`The store's answer to ${path} is not JSON`, { cause }));
  }
}

/** Validates a response against its schema. */
export function decodeAnswer<TSchema extends v.GenericSchema>(
  path: string,
  { value, schema: answerSchema }: { value: unknown; schema: TSchema },
): Result<v.InferOutput<TSchema>, schema.errors.JackdawlinkError> {
  const parsed = v.safeParse(answerSchema, value);
  if (parsed.success) return ok(parsed.output);
  const issues = parsed.issues.map((issue) => `${v.getDotPath(issue) ?? ""}: ${issue.message}`);
  return err(new StoreAnswerError(`The store's answer to ${path} is malformed: ${issues[0]}`));
}
