/**
 * Reads the configuration files that a command line names.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { err, ok, Result } from "neverthrow";

/** Reads files and parses each object; all issues of all files come at once. */
export function readConfigTables(
  files: readonly string[],
): Result<policy.configText.ConfigTables, schema.errors.JackdawlinkError> {
  return Result.combineWithAllErrors(files.map(readFile))
    .mapErr(missingFiles)
    .andThen((read) => policy.configText.parseConfigFiles(read).mapErr(findingsError));
}

/** The error that carries findings. */
export function findingsError(
  findings: readonly policy.findings.Finding[],
): schema.errors.JackdawlinkError {
  const message = `The configuration has ${findings.length} errors`;
  return new adapters.configRepository.ConfigCheckError(message, { props: { findings } });
}

function readFile(file: string): Result<policy.configText.ConfigFile, string> {
  try {
    return ok({ file, text: readFileSync(file, "utf8") });
  } catch (cause) {
    return err(`${file} (${(cause as NodeJS.ErrnoException).code})`);
  }
}

function missingFiles(files: readonly string[]): schema.errors.JackdawlinkError {
  return new schema.errors.InvalidInputError(`Files cannot be read: ${files.join(", ")}`);
}
