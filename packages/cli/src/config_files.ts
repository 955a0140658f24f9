/**
 * Reads the configuration files given on the command line.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { err, ok, Result } from "neverthrow";

/** Reads and parses files; the error lists the findings of all files. */
export function readConfigTables(
  files: readonly string[],
): Result<policy.configText.ConfigTables, schema.errors.JackdawlinkError> {
  return Result.combineWithAllErrors(files.map(readFile))
    .mapErr(unreadableFilesError)
    .andThen((read) => policy.configText.parseConfigFiles(read).mapErr(findingsError));
}

/** An error with the given findings. */
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

function unreadableFilesError(files: readonly string[]): schema.errors.JackdawlinkError {
  return new schema.errors.InvalidInputError(`Files cannot be read: ${files.join(", ")}`);
}
