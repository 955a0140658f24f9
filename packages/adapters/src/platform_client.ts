/**
 * HTTP client of the platform's fleet API.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import * as undici from "undici";
import * as v from "valibot";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

const HTTP_NOT_MODIFIED = 304;
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

/** A cached list with the entity tag of its response. */
interface TaggedList {
  readonly entityTag: string;
  readonly list: readonly unknown[];
}

/** The body of a call, or the entity tag for a conditional request of a list. */
interface CallOptions {
  readonly body?: object;
  readonly entityTag?: string;
}

/** A response; the body is null if the status is 304 (not modified). */
interface PlatformAnswer {
  readonly statusCode: number;
  readonly entityTag: string | undefined;
  readonly body: unknown;
}

type PlatformResult<T> = ResultAsync<T, schema.errors.JackdawlinkError>;

/**
 * The platform client. A call without a complete response may have taken effect and can be retried.
 */
export class PlatformClient implements ports.platform.Platform {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent = new undici.Agent({ connections: 8 });
  readonly #lists = new Map<string, TaggedList>();

  constructor(url: string, timeoutMs: number = DEFAULT_TIMEOUT_MS) {
    this.#url = url.replace(/\/$/, "");
    this.#timeoutMs = timeoutMs;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  listVms(): PlatformResult<readonly ports.platform.ListedVm[]> {
    return this.#list("/fleet/vms", listedVmSchema);
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
    return this.#list("/fleet/workers", listedWorkerSchema);
  }

  startTask(worker: string, spec: ports.platform.TaskSpec): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks`, spec);
  }

  stopTask(worker: string, taskId: string): PlatformResult<ports.platform.StopOutcome> {
    const path = `/fleet/workers/${worker}/tasks/${taskId}/stop`;
    return this.#call("POST", path, { body: {} })
      .andThen(({ body }) => parse(stopSchema, body))
      .map(({ outcome }) => outcome);
  }

  checkpointTask(worker: string, taskId: string): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks/${taskId}/checkpoint`, {});
  }

  throttleTask(worker: string, taskId: string, cores: number): PlatformResult<void> {
    return this.#post(`/fleet/workers/${worker}/tasks/${taskId}/throttle`, { cores });
  }

  /** Requests a list; uses a conditional request if the platform sent an entity tag before. */
  #list<TSchema extends v.GenericSchema>(
    path: string,
    itemSchema: TSchema,
  ): PlatformResult<readonly v.InferOutput<TSchema>[]> {
    const held = this.#lists.get(path);
    return this.#call("GET", path, { entityTag: held?.entityTag }).andThen((answer) => {
      if (answer.statusCode === HTTP_NOT_MODIFIED && held !== undefined) {
        return okAsync(held.list as readonly v.InferOutput<TSchema>[]);
      }
      return parse(v.array(itemSchema), answer.body).map((list) => {
        const { entityTag } = answer;
        if (entityTag === undefined) this.#lists.delete(path);
        else this.#lists.set(path, { entityTag, list });
        return list;
      });
    });
  }

  #post(path: string, body: object): PlatformResult<void> {
    return this.#call("POST", path, { body }).map(() => undefined);
  }

  #call(
    method: "GET" | "POST",
    path: string,
    { body, entityTag }: CallOptions,
  ): PlatformResult<PlatformAnswer> {
    const condition = entityTag === undefined ? {} : { "if-none-match": entityTag };
    const request = async (): Promise<PlatformAnswer> => {
      const { origin, pathname } = new URL(`${this.#url}${path}`);
      const response = await this.#agent.request({
        origin,
        path: pathname,
        method,
        signal: AbortSignal.timeout(this.#timeoutMs),
        headers: { "content-type": "application/json", ...condition },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      const { statusCode, headers } = response;
      const text = await response.body.text();
      return {
        statusCode,
        entityTag: typeof headers["etag"] === "string" ? headers["etag"] : undefined,
        body: statusCode === HTTP_NOT_MODIFIED ? null : JSON.parse(text),
      };
    };
    const answer = ResultAsync.fromPromise(
      request(),
      (cause) =>
        new schema.errors.PlatformUnavailableError("The platform did not answer", { cause }),
    );
    return answer.andThen((response) => checkStatus(response, path));
  }
}

/** Converts error statuses to errors. */
function checkStatus(
  answer: PlatformAnswer,
  path: string,
): PlatformResult<PlatformAnswer> {
  const { statusCode } = answer;
  if (statusCode === HTTP_CONFLICT) {
    return errAsync(new schema.errors.StaleOperationError(`The platform refused ${path}`));
  }
  if (statusCode >= 400) {
    const message = `The platform answered ${path} with status ${statusCode}`;
    return errAsync(new schema.errors.PlatformUnavailableError(message));
  }
  return okAsync(answer);
}

/** Validates the body of a response. */
function parse<TSchema extends v.GenericSchema>(
  answerSchema: TSchema,
  body: unknown,
): PlatformResult<v.InferOutput<TSchema>> {
  const parsed = v.safeParse(answerSchema, body);
  return parsed.success
    ? okAsync(parsed.output)
    : errAsync(new schema.errors.InvalidInputError("An answer of the platform does not fit"));
}
