/**
 * Keeps a loop running when the handling of one item throws.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

const MAX_REASON_CHARACTERS = 300;

/** Handles one item; an exception is logged as an error with the item's key, and goes no further. */
export function guard(
  handle: () => void,
  { log, key }: { readonly log: ports.log.Log; readonly key: string },
): void {
  try {
    handle();
  } catch (error) {
    const reason = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
    log.error("Could not handle a store item", {
      key,
      reason: reason.slice(0, MAX_REASON_CHARACTERS),
    });
  }
}
