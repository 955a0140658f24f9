/**
 * The exit codes of `jackdawlink`.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";

/** The exit codes by meaning. */
export const EXIT_CODES = {
  ok: 0,
  /** A check found errors, or the command was refused. */
  refused: 1,
  /** The command line, the settings or a file is invalid. */
  usage: 2,
  /** Another operator published a conflicting change first. */
  conflict: 3,
  /** The store did not answer; the message says whether the change may have taken effect. */
  storeUnavailable: 4,
  /** Published, but not in force before the time-out. */
  notYetInForce: 5,
} as const;

/** The exit codes by error class; the first match counts. */
const CODES_BY_ERROR = [
  [schema.errors.ConflictError, EXIT_CODES.conflict],
  [schema.errors.StoreUnavailableError, EXIT_CODES.storeUnavailable],
  [schema.errors.InvalidInputError, EXIT_CODES.usage],
] as const;

/** The exit code of a failed command. */
export function exitCodeOf(error: schema.errors.JackdawlinkError): number {
  const match = CODES_BY_ERROR.find(([errorClass]) => error instanceof errorClass);
  return match?.[1] ?? EXIT_CODES.refused;
}
