/**
 * An in-process platform: implements the platform port on the fleet model.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { FleetModel } from "./fleet_model.ts";

type PlatformResult<T> = ResultAsync<T, schema.errors.JackdawlinkError>;

/** Options of a {@link ModelPlatform}. */
export interface ModelPlatformOptions {
  readonly model: FleetModel;
  readonly clock: ports.clock.Clock;
  /** Decides for each action whether its answer is lost after the action took effect. */
  readonly losesAnswer?: () => boolean;
}

/** Calls the fleet model directly. */
export class ModelPlatform implements ports.platform.Platform {
  readonly #options: ModelPlatformOptions;

  constructor(options: ModelPlatformOptions) {
    this.#options = options;
  }

  listVms(): PlatformResult<readonly ports.platform.ListedVm[]> {
    return okAsync(this.#options.model.listVms(this.#nowMs()));
  }

  drainVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#act("drain", { vm, operationId });
  }

  rebootVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#act("reboot", { vm, operationId });
  }

  returnVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#act("return", { vm, operationId });
  }

  listWorkers(): PlatformResult<readonly ports.platform.ListedWorker[]> {
    return okAsync(this.#options.model.listWorkers(this.#nowMs()));
  }

  startTask(worker: string, spec: ports.platform.TaskSpec): PlatformResult<void> {
    const outcome = this.#options.model.tasks.start(worker, spec, this.#nowMs());
    return outcome === "refused" ? staleOperation() : this.#answer(undefined);
  }

  stopTask(worker: string, taskId: string): PlatformResult<ports.platform.StopOutcome> {
    this.#options.model.advance(this.#nowMs());
    return this.#answer(this.#options.model.tasks.stop(worker, taskId));
  }

  checkpointTask(worker: string, taskId: string): PlatformResult<void> {
    this.#options.model.tasks.checkpoint(worker, taskId);
    return this.#answer(undefined);
  }

  throttleTask(): PlatformResult<void> {
    return this.#answer(undefined);
  }

  #act(
    action: "drain" | "reboot" | "return",
    { vm, operationId }: { vm: string; operationId: string },
  ): PlatformResult<void> {
    const nowMs = this.#nowMs();
    const outcome = this.#options.model.act(action, { vm, operationId, nowMs });
    return outcome === "accepted" ? this.#answer(undefined) : staleOperation();
  }

  #answer<T>(value: T): PlatformResult<T> {
    return this.#options.losesAnswer?.() === true
      ? errAsync(new schema.errors.PlatformUnavailableError("The answer was lost"))
      : okAsync(value);
  }

  #nowMs(): number {
    return this.#options.clock.steadyMs();
  }
}

function staleOperation<T>(): PlatformResult<T> {
  return errAsync(new schema.errors.StaleOperationError("The platform refused the operation"));
}
