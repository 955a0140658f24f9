/**
 * Unplanned losses: VMs that are out of service although no operation took them out.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as vmSteps from "./vm_steps.ts";

type VmRecord = Pick<schema.fleet.VmRecord, "vm" | "operation" | "operationCount">;

/**
 * Whether a VM without an operation may be out of service. Budgets count it: a list that lags may still
 * show an operation that is over, and waiting for a newer list is the safe side.
 */
export function mayBeUnavailable(
  record: VmRecord,
  observed: vmSteps.VmObservation | undefined,
): boolean {
  return record.operation === undefined && observed?.state !== "live";
}

/**
 * Whether a VM is known to be lost: the list shows it out of service after its latest operation. Waves
 * count it as a failure.
 */
export function isConfirmedLost(
  record: VmRecord,
  observed: vmSteps.VmObservation | undefined,
): boolean {
  if (!mayBeUnavailable(record, observed)) {
    return false;
  }
  if (observed === undefined || record.operationCount === 0) {
    return true;
  }
  const latest = vmSteps.operationIdOf(record.vm, record.operationCount);
  return observed.operationId === latest && observed.returned;
}
