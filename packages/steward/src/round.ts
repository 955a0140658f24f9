/**
 * The inputs of one round of a steward's decisions.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";

/** The inputs of one round, all read at its start. */
export interface Round {
  readonly config: schema.config.Config;
  readonly listedVms: ReadonlyMap<string, ports.platform.ListedVm>;
  /** When the list of VMs was requested, by the steward's monotonic clock. */
  readonly listedAtMs: number;
  /**
   * Whether a subject (a pool, a wave or the jobs) is assigned to this steward. This only avoids
   * duplicate work: compare-and-swap in the store protects against stewards that act concurrently.
   */
  readonly isAssigned: (subject: string) => boolean;
}
