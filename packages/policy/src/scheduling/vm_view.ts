/**
 * VMs as the plans for maintenance and pools see them.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import type { WorkerRecord } from "./worker_record.ts";

/** One VM and the worker on it. */
export interface VmView {
  readonly vm: string;
  readonly pool: string;
  readonly state: ports.scheduling.VmState;
  /** In a standby pool: switched off, and without cost. */
  readonly isStandby: boolean;
  readonly total: schema.scheduling.Resources;
  /** Undefined while it is off or its worker isn't known yet. */
  readonly worker: WorkerRecord | undefined;
  /** The outcome of an order is not known, so it must be left alone. */
  readonly isUncertain: boolean;
}

/** Whether nothing runs or may run on the VM, as far as its worker is known. */
export function isIdle(view: VmView): boolean {
  return view.state === "up" && !view.isUncertain &&
    (view.isStandby ||
      (view.worker !== undefined && view.worker.hasReported && view.worker.runs.size === 0 &&
        view.worker.unknownRuns.size === 0));
}
