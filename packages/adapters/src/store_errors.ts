/**
 * Errors of the store client.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";

/** The store answered with something that is not of its protocol. */
export const StoreAnswerError = schema.errors.StoreUnavailableError.subclass("StoreAnswerError");

/** The store refused the call for good; it had no effect. */
export const StoreRefusedError = schema.errors.JackdawlinkError.subclass("StoreRefusedError");

/** The call failed; it may have had an effect. */
export function unavailable(
  path: string,
  reason: string,
  { cause }: { cause?: unknown } = {},
): schema.errors.JackdawlinkError {
  const message = `The store did not answer ${path}: ${reason}`;
  return new schema.errors.StoreUnavailableError(message, { cause });
}

/** The call was refused; it had no effect. */
export function refused(path: string, reason: string): schema.errors.JackdawlinkError {
  return new StoreRefusedError(`The store refused ${path}: ${reason}`);
}

/** The call was not sent. */
export function overBudget(kind: "read" | "write"): schema.errors.JackdawlinkError {
  return new schema.errors.StoreBudgetError(
    `The budget of store ${kind}s of this process is used up`,
  );
}
