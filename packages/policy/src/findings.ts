/**
 * Findings of the configuration checks, and the promises (service guarantees) that they refer to.
 *
 * @module
 */

/** The guarantees to operators and submitters; a finding names the one that would be broken. */
export const PROMISES = {
  "availability-budget": "Availability budgets hold during drains, reboots and waves",
  "one-pool": "Each VM belongs to one pool",
  "team-isolation": "Work runs only for the team that a valid key names",
  "team-limit": "A team never runs more than its upper limit",
  "own-answer": "Each caller gets the whole answer to its own request",
  "not-run": "A request reported as not run has not run",
  "at-most-once": "A request that is not repeatable runs at most once",
  "leaving-server": "A leaving backend server gets no new work",
  "graceful-stop": "A planned stop lets running requests finish",
  "configuration-in-force": "An accepted configuration is in force everywhere",
  "fair-share": "Each team gets its share while a pool is full",
  "on-time": "Scheduled work finishes on time",
} as const;

/** Identifies a guarantee in findings. */
export type PromiseId = keyof typeof PROMISES;

/** One fault of a configuration. Errors prevent publishing; warnings do not. */
export interface Finding {
  readonly severity: "error" | "warning";
  readonly kind: string;
  readonly name: string;
  readonly field: string;
  readonly message: string;
  readonly promise: PromiseId;
}

/** Formats a finding as one line. */
export function describeFinding(finding: Finding): string {
  const { severity, kind, name, field, message, promise } = finding;
  const object = [kind, name].filter((part) => part !== "").join("/");
  const location = [object, field].filter((part) => part !== "").join(" ");
  return `${severity}: ${location}: ${message} (${promise}: ${PROMISES[promise]})`;
}
