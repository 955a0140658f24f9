/**
 * Polls for a condition, in place of fixed delays in tests.
 *
 * @module
 */
import { errors } from "@jackdawlink/schema";

/** A condition did not become true within its time limit. */
export const ConditionTimeoutError = errors.JackdawlinkError.subclass("ConditionTimeoutError");

const DEFAULT_LIMIT_MS = 30_000;
const DEFAULT_INTERVAL_MS = 20;

/** Time limit and polling interval. */
export interface WaitOptions {
  readonly limitMs?: number;
  readonly intervalMs?: number;
}

/**
 * Polls until the probe returns a value other than `undefined`, `null` or `false`, and returns it.
 * Throws `ConditionTimeoutError` after the limit. An error thrown by the probe counts as not yet true.
 */
export async function waitFor<TValue>(
  description: string,
  probe: () => TValue | Promise<TValue>,
  { limitMs = DEFAULT_LIMIT_MS, intervalMs = DEFAULT_INTERVAL_MS }: WaitOptions = {},
): Promise<NonNullable<TValue>> {
  const endMs = performance.now() + limitMs;
  let lastError: unknown;
  while (performance.now() < endMs) {
    try {
      const value = await probe();
      if (value !== undefined && value !== null && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await pause(intervalMs);
  }
  throw new ConditionTimeoutError(`No ${description} within ${limitMs} ms`, { cause: lastError });
}

/** Resolves after a delay. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
