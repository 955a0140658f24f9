/**
 * The platform's fleet interface: VMs, and workers that run tasks.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { errors } from "@jackdawlink/schema";

/** A VM as listed by the platform. The list may be stale. */
export interface ListedVm {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly state: "live" | "leaving" | "rebooting" | "down";
  /** Requests and tasks running on the VM. A leaving VM takes no new ones, so zero stays zero. */
  readonly running: number;
  /** The latest operation that the platform accepted for the VM; empty before the first. */
  readonly operationId: string;
  /** Whether the reboot of that operation has finished. */
  readonly rebooted: boolean;
  /** Whether that operation has ended and the VM has been returned to service. */
  readonly returned: boolean;
}

/** A worker with its capacity and its tasks. */
export interface ListedWorker {
  readonly worker: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly state: "live" | "leaving" | "down";
  readonly tasks: readonly ListedTask[];
}

/** A task on a worker. The usage figures may be stale. */
export interface ListedTask {
  readonly taskId: string;
  readonly state: "running" | "succeeded" | "failed" | "stopped";
  readonly usedCores: number;
  readonly usedMemoryMb: number;
  readonly checkpointed: boolean;
}

/** A task to start, with the resources that it needs. */
export interface TaskSpec {
  readonly taskId: string;
  readonly team: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly runMs: number;
}

/** The state of a task after a stop call. A stopped task id cannot be started again. */
export type StopOutcome = "never-started" | "stopped" | "succeeded" | "failed";

/**
 * Controls VMs and workers. All calls are idempotent.
 *
 * Calls on a VM carry an operation id. The operation ids of a VM sort in the order of creation; the
 * platform rejects an operation that has ended or is older than the latest with
 * `StaleOperationError`.
 */
export interface Platform {
  listVms(): ResultAsync<readonly ListedVm[], errors.JackdawlinkError>;
  /** Stops new work on the VM; running work continues. */
  drainVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  rebootVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  /** Returns the VM to service and ends the operation. */
  returnVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  listWorkers(): ResultAsync<readonly ListedWorker[], errors.JackdawlinkError>;
  /** Starts a task; a second call with the same task id has no effect. */
  startTask(worker: string, spec: TaskSpec): ResultAsync<void, errors.JackdawlinkError>;
  stopTask(worker: string, taskId: string): ResultAsync<StopOutcome, errors.JackdawlinkError>;
  checkpointTask(worker: string, taskId: string): ResultAsync<void, errors.JackdawlinkError>;
  throttleTask(
    worker: string,
    taskId: string,
    cores: number,
  ): ResultAsync<void, errors.JackdawlinkError>;
}
