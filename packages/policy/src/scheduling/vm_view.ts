/**
 * VMs as the plans for maintenance and pools see them.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { WorkerRecord } from "./worker_record.ts";

/** One VM and the worker on it. */
export interface VmView {
  readonly vm: string;
  readonly pool: string;
  readonly state: schema.scheduling.VmState;
  /** In a standby pool: switched off, and without cost. */
  readonly isStandby: boolean;
  readonly total: schema.scheduling.Resources;
  /** Undefined while it is off or its worker isn't known yet. */
  readonly worker: WorkerRecord | undefined;
  /** The outcome of an order is not known, so it must be left alone. */
  readonly isUncertain: boolean;
}

/** Whether the VM can go down without loss: nothing runs or may run on it, and all ends are stored. */
export function isIdle(view: VmView): boolean {
  return view.state === "up" && !view.isUncertain &&
    (view.isStandby || (view.worker !== undefined && isWorkerIdle(view.worker)));
}

function isWorkerIdle(worker: WorkerRecord): boolean {
  return worker.hasReported && worker.runs.size === 0 && worker.unknownTasks.size === 0 &&
    worker.ends.stored >= worker.ends.processed;
}
