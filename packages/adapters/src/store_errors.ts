/**
 * Errors of the store client.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";

/** The response of the store is malformed. */
export const StoreAnswerError = schema.errors.StoreUnavailableError.subclass("StoreAnswerError");

/** The store rejected the call as invalid; it had no effect, and a retry would fail again. */
export const StoreRefusedError = schema.errors.JackdawlinkError.subclass("StoreRefusedError");

/** Creates the error of a failed call, which may have taken effect. */
export function unavailable(
  path: string,
  reason: string,
  { cause }: { cause?: unknown } = {},
): schema.errors.JackdawlinkError {
  const message = `The store did not answer ${path}: ${reason}`;
  return new schema.errors.StoreUnavailableError(message, { cause });
}

/** Creates the error of a rejected call, which had no effect. */
export function refused(path: string, reason: string): schema.errors.JackdawlinkError {
  return new StoreRefusedError(`The store refused ${path}: ${reason}`);
}

/** Creates the error of a call that was not sent because of the rate limit. */
export function overBudget(kind: "read" | "write"): schema.errors.JackdawlinkError {
  return new schema.errors.StoreBudgetError(
    `The budget of store ${kind}s of this process is used up`,
  );
}
