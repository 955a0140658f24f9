/**
 * Parses the command-line options of the stand-in programs: `--name value` pairs.
 *
 * @module
 */
import { errors } from "@jackdawlink/schema";

/** An option is missing or has no value. */
export const ArgumentError = errors.JackdawlinkError.subclass("ArgumentError");

/** Reads `--name value` pairs; throws `ArgumentError` on anything else. */
export function readOptions(args: readonly string[]): ReadonlyMap<string, string> {
  const options = new Map<string, string>();
  for (let index = 0; index < args.length; index += 2) {
    const name = args[index]!;
    const value = args[index + 1];
    if (!name.startsWith("--") || value === undefined) {
      throw new ArgumentError(`${name} is not an option with a value`);
    }
    options.set(name.slice(2), value);
  }
  return options;
}
