/**
 * What one round of a steward's decisions starts from.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";

/** The inputs of one round; all were read in the same round. */
export interface Round {
  readonly config: schema.config.Config;
  readonly listedVms: ReadonlyMap<string, ports.platform.ListedVm>;
  /** When the list of VMs was asked for, by the steward's clock. */
  readonly listedAtMs: number;
  /** Whether this steward acts for a subject; only saves double work. */
  readonly isAssigned: (subject: string) => boolean;
}
