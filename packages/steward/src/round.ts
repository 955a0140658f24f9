/**
 * What one round of a steward's decisions starts from.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";

/** The inputs of one round; all were read in the same round. */
export interface Round {
  readonly config: schema.config.Config;
  readonly listedVms: ReadonlyMap<string, ports.platform.ListedVm>;
  /** When the list of VMs was asked for, by the steward's clock. */
  readonly listedAtMs: number;
  /** Whether this steward acts for a subject; only saves double work. */
  readonly actsFor: (subject: string) => boolean;
}

/** The VMs of a pool that are out of service without holding a token. */
export function lossesOf(
  vms: readonly schema.fleet.VmRecord[],
  listedVms: ReadonlyMap<string, ports.platform.ListedVm>,
): readonly policy.fleet.budgets.VmPlace[] {
  return vms.filter((record) => isLost(record, listedVms));
}

/** Whether a VM is out of service although no operation took it out. */
export function isLost(
  record: schema.fleet.VmRecord,
  listedVms: ReadonlyMap<string, ports.platform.ListedVm>,
): boolean {
  return record.operation === undefined && listedVms.get(record.vm)?.state !== "live";
}
