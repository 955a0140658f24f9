/**
 * Unplanned losses: VMs that are out of service without an operation.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as vmSteps from "./vm_steps.ts";

type VmRecord = Pick<schema.fleet.VmRecord, "vm" | "operation" | "operationCount">;

/**
 * Whether a VM without an operation may be out of service. Budgets count such a VM as unavailable.
 * A stale list may still show an operation that has ended; waiting for a newer list is safe.
 */
export function mayBeUnavailable(
  record: VmRecord,
  observed: vmSteps.VmObservation | undefined,
): boolean {
  return record.operation === undefined && observed?.state !== "live";
}

/**
 * Whether a VM is certainly lost: the platform doesn't list it, or lists it as out of service after
 * its latest operation ended. Waves count it as a failure.
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
