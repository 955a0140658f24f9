/**
 * Reads settings from TOML files and reports all issues together.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as schema from "@jackdawlink/schema";
import { err, ok, Result } from "neverthrow";
import * as toml from "smol-toml";
import * as v from "valibot";

/**
 * A settings file is missing, is not TOML, or does not match its schema. `issues` has one line
 * each.
 */
export const SettingsError = schema.errors.InvalidInputError.subclass("SettingsError", {
  props: { issues: [] as readonly string[] },
});
export type SettingsError = InstanceType<typeof SettingsError>;

/** Reads a TOML file and validates it against a schema. */
export function readSettings<TSchema extends v.GenericSchema>(
  file: string,
  settingsSchema: TSchema,
): Result<v.InferOutput<TSchema>, SettingsError> {
  return readText(file)
    .andThen((text) => parseSettings(text, settingsSchema))
    .mapErr((error) => withFile(file, error));
}

/** Parses TOML text and validates it against a schema. */
export function parseSettings<TSchema extends v.GenericSchema>(
  text: string,
  settingsSchema: TSchema,
): Result<v.InferOutput<TSchema>, SettingsError> {
  return parseToml(text).andThen((value) => {
    const parsed = v.safeParse(settingsSchema, value);
    return parsed.success
      ? ok(parsed.output)
      : err(settingsError(parsed.issues.map(describeIssue)));
  });
}

function readText(file: string): Result<string, SettingsError> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "unknown";
    return err(settingsError([`the file cannot be read (${code})`], cause));
  }
}

function parseToml(text: string): Result<unknown, SettingsError> {
  try {
    return ok(toml.parse(text));
  } catch (cause) {
    const reason = (cause as Error).message.split("\n")[0];
    return err(settingsError([`not valid TOML: ${reason}`], cause));
  }
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue);
  return path === null ? issue.message : `${path}: ${issue.message}`;
}

function settingsError(issues: readonly string[], cause?: unknown): SettingsError {
  return new SettingsError(`Settings are not valid: ${issues.join("; ")}`, {
    props: { issues },
    cause,
  });
}

function withFile(file: string, error: SettingsError): SettingsError {
  return new SettingsError(`Settings file ${file} is not valid: ${error.issues.join("; ")}`, {
    props: { issues: error.issues },
  });
}
