/**
 * What the platform offers besides its store: the list of VMs, and workers that run tasks.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { errors } from "@jackdawlink/schema";

/** One VM as the platform lists it; the list lags. */
export interface ListedVm {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly state: "live" | "leaving" | "rebooting" | "down";
  /** Requests and tasks that run on the VM. A leaving VM takes no new ones, so zero stays zero. */
  readonly running: number;
  /** The latest operation that the platform accepted for the VM, empty before the first. */
  readonly operationId: string;
  /** Whether the reboot of that operation is over. */
  readonly rebooted: boolean;
  /** Whether that operation is over; the VM was returned to service. */
  readonly returned: boolean;
}

/** One worker with what it has and what runs on it. */
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

/** One task on a worker. Usage lags. */
export interface ListedTask {
  readonly taskId: string;
  readonly state: "running" | "succeeded" | "failed" | "stopped";
  readonly usedCores: number;
  readonly usedMemoryMb: number;
  readonly checkpointed: boolean;
}

/** What a task asks of its worker. */
export interface TaskSpec {
  readonly taskId: string;
  readonly team: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly runMs: number;
}

/** What the platform shows of a task that was told to stop; a stopped task id can't be started. */
export type StopOutcome = "never-started" | "stopped" | "succeeded" | "failed";

/**
 * The platform's interface to VMs and workers. All calls are idempotent.
 *
 * Calls on a VM name their operation. Operation ids of a VM sort in the order of their creation; the
 * platform refuses with `StaleOperationError` one that was returned or is older than the latest.
 */
export interface Platform {
  listVms(): ResultAsync<readonly ListedVm[], errors.JackdawlinkError>;
  /** The VM takes no new work; what runs on it goes on. */
  drainVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  rebootVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  /** Puts the VM back into service and ends the operation. */
  returnVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  listWorkers(): ResultAsync<readonly ListedWorker[], errors.JackdawlinkError>;
  /** Starting the same task id twice starts it once. */
  startTask(worker: string, spec: TaskSpec): ResultAsync<void, errors.JackdawlinkError>;
  stopTask(worker: string, taskId: string): ResultAsync<StopOutcome, errors.JackdawlinkError>;
  checkpointTask(worker: string, taskId: string): ResultAsync<void, errors.JackdawlinkError>;
  throttleTask(
    worker: string,
    taskId: string,
    cores: number,
  ): ResultAsync<void, errors.JackdawlinkError>;
}
