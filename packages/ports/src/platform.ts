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

/** The platform's interface to VMs and workers. All calls are idempotent. */
export interface Platform {
  listVms(): ResultAsync<readonly ListedVm[], errors.JackdawlinkError>;
  drainVm(vm: string): ResultAsync<void, errors.JackdawlinkError>;
  rebootVm(vm: string, operationId: string): ResultAsync<void, errors.JackdawlinkError>;
  listWorkers(): ResultAsync<readonly ListedWorker[], errors.JackdawlinkError>;
  /** Starting the same task id twice starts it once. */
  startTask(worker: string, spec: TaskSpec): ResultAsync<void, errors.JackdawlinkError>;
  stopTask(worker: string, taskId: string): ResultAsync<void, errors.JackdawlinkError>;
  checkpointTask(worker: string, taskId: string): ResultAsync<void, errors.JackdawlinkError>;
  throttleTask(
    worker: string,
    taskId: string,
    cores: number,
  ): ResultAsync<void, errors.JackdawlinkError>;
}
