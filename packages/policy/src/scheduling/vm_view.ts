/**
 * The state of VMs that the planning of maintenance waves and pool moves reads.
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
  /** Whether the VM is in a standby pool, where it is switched off and costs nothing. */
  readonly isStandby: boolean;
  readonly total: schema.scheduling.Resources;
  /** Undefined while the VM is off or its worker is not known yet. */
  readonly worker: WorkerRecord | undefined;
  /** Whether the outcome of an order to the VM is unknown; it gets no other orders until then. */
  readonly isUncertain: boolean;
}

/**
 * Whether the VM can go down without loss: it has no known or possible runs, and all task ends are
 * stored.
 */
export function isIdle(view: VmView): boolean {
  return view.state === "up" && !view.isUncertain &&
    (view.isStandby || (view.worker !== undefined && isWorkerIdle(view.worker)));
}

function isWorkerIdle(worker: WorkerRecord): boolean {
  return worker.hasReported && worker.runs.size === 0 && worker.unknownTasks.size === 0 &&
    worker.ends.stored >= worker.ends.processed;
}
