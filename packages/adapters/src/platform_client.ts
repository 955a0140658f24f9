/**
 * The platform's VMs and workers over HTTP.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import * as undici from "undici";
import * as v from "valibot";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

const HTTP_CONFLICT = 409;
const DEFAULT_TIMEOUT_MS = 2_000;

const listedVmSchema = v.object({
  vm: schema.names.nameSchema,
  availabilityZone: schema.names.nameSchema,
  rack: schema.names.nameSchema,
  state: v.picklist(["live", "leaving", "rebooting", "down"]),
  running: schema.names.countSchema,
  operationId: v.string(),
  rebooted: v.boolean(),
  returned: v.boolean(),
});

const listedWorkerSchema = v.object({
  worker: schema.names.nameSchema,
  availabilityZone: schema.names.nameSchema,
  rack: schema.names.nameSchema,
  cores: v.number(),
  memoryMb: v.number(),
  accelerators: v.number(),
  state: v.picklist(["live", "leaving", "down"]),
  tasks: v.array(v.object({
    taskId: v.string(),
    state: v.picklist(["running", "succeeded", "failed", "stopped"]),
    usedCores: v.number(),
    usedMemoryMb: v.number(),
    checkpointed: v.boolean(),
  })),
});

const stopSchema = v.object({
  outcome: v.picklist(["never-started", "stopped", "succeeded", "failed"]),
});

type PlatformResult<T> = ResultAsync<T, schema.errors.JackdawlinkError>;

/** Calls the platform; a call without a whole answer may have taken effect and can be repeated. */
export class PlatformClient implements ports.platform.Platform {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent = new undici.Agent({ connections: 8 });

  constructor(url: string, timeoutMs: number = DEFAULT_TIMEOUT_MS) {
    this.#url = url.replace(/\/$/, "");
    this.#timeoutMs = timeoutMs;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  listVms(): PlatformResult<readonly ports.platform.ListedVm[]> {
    return this.#call("GET", "/fleet/vms", {}).andThen((body) =>
      parse(v.array(listedVmSchema), body)
    );
  }

  drainVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#post(`/fleet/vms/${vm}/drain`, { operationId });
  }

  rebootVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#post(`/fleet/vms/${vm}/reboot`, { operationId });
  }

  returnVm(vm: string, operationId: string): PlatformResult<void> {
    return this.#post(`/fleet/vms/${vm}/return`, { operationId });
  }

  listWorkers(): PlatformResult<readonly ports.platform.ListedWorker[]> {
    return this.#call("GET", "/fleet/workers", {}).andThen((body) =>
      parse(v.array(listedWorkerSchema), body)
    );
  }

  startTask(worker: string, spec: ports.platform.TaskSpec): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks`, spec);
  }

  stopTask(worker: string, taskId: string): PlatformResult<ports.platform.StopOutcome> {
    const path = `/fleet/workers/${worker}/tasks/${taskId}/stop`;
    return this.#call("POST", path, { body: {} })
      .andThen((body) => parse(stopSchema, body))
      .map(({ outcome }) => outcome);
  }

  checkpointTask(worker: string, taskId: string): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks/${taskId}/checkpoint`, {});
  }

  throttleTask(worker: string, taskId: string, cores: number): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks/${taskId}/throttle`, { cores });
  }

  #post(path: string, body: object): PlatformResult<void> {
    return this.#call("POST", path, { body }).map(() => undefined);
  }

  #call(
    method: "GET" | "POST",
    path: string,
    { body }: { readonly body?: object },
  ): PlatformResult<unknown> {
    const request = async () => {
      const { origin, pathname } = new URL(`${this.#url}${path}`);
      const response = await this.#agent.request({
        origin,
        path: pathname,
        method,
        signal: AbortSignal.timeout(this.#timeoutMs),
        headers: { "content-type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      return { statusCode: response.statusCode, body: await response.body.json() };
    };
    const answer = ResultAsync.fromPromise(
      request(),
      (cause) =>
        new schema.errors.PlatformUnavailableError("The platform did not answer", { cause }),
    );
    return answer.andThen((response) => checkStatus(response, path));
  }
}

/** Turns a status into an error of its own. */
function checkStatus(
  { statusCode, body }: { statusCode: number; body: unknown },
  path: string,
): PlatformResult<unknown> {
  if (statusCode === HTTP_CONFLICT) {
    return errAsync(new schema.errors.StaleOperationError(`The platform refused ${path}`));
  }
  if (statusCode >= 400) {
    const message = `The platform answered ${path} with status ${statusCode}`;
    return errAsync(new schema.errors.PlatformUnavailableError(message));
  }
  return okAsync(body);
}

/** An answer that fits its schema. */
function parse<TSchema extends v.GenericSchema>(
  answerSchema: TSchema,
  body: unknown,
): PlatformResult<v.InferOutput<TSchema>> {
  const parsed = v.safeParse(answerSchema, body);
  return parsed.success
    ? okAsync(parsed.output)
    : errAsync(new schema.errors.InvalidInputError("An answer of the platform does not fit"));
}
