/**
 * A client for the HTTP interface that entries and stewards have for operators.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import * as undici from "undici";
import * as v from "valibot";

/** A line of an explanation, with the address of the process that reported it. */
export type ExplainedLine = schema.operator.ExplainedLine & { readonly address: string };

/** A process that doesn't answer within this time counts as unreachable. */
const REQUEST_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** Sends requests to any number of addresses. */
export class OperatorClient {
  readonly #agent = new undici.Agent();

  status(
    address: string,
  ): ResultAsync<schema.operator.Status, schema.errors.JackdawlinkError> {
    const { STATUS_PATH: path, statusSchema: answer } = schema.operator;
    return this.#get(address, { path, answer });
  }

  explain(
    address: string,
    id: string,
  ): ResultAsync<schema.operator.Explanation, schema.errors.JackdawlinkError> {
    const { EXPLAIN_PATH_PREFIX, explanationSchema: answer } = schema.operator;
    return this.#get(address, { path: `${EXPLAIN_PATH_PREFIX}${encodeURIComponent(id)}`, answer });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #get<TSchema extends v.GenericSchema>(
    address: string,
    { path, answer }: { path: string; answer: TSchema },
  ): ResultAsync<v.InferOutput<TSchema>, schema.errors.JackdawlinkError> {
    return new ResultAsync(this.#request(address, { path, answer }));
  }

  async #request<TSchema extends v.GenericSchema>(
    address: string,
    { path, answer }: { path: string; answer: TSchema },
  ): Promise<Result<v.InferOutput<TSchema>, schema.errors.JackdawlinkError>> {
    try {
      const response = await undici.request(`http://${address}${path}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await response.body.text();
      if (response.statusCode !== HTTP_OK) {
        return err(unreachable(address, `status ${response.statusCode}`));
      }
      const parsed = v.safeParse(answer, JSON.parse(text));
      return parsed.success
        ? ok(parsed.output)
        : err(unreachable(address, `malformed answer: ${parsed.issues[0].message}`));
    } catch (cause) {
      return err(unreachable(address, (cause as Error).message, { cause }));
    }
  }
}

function unreachable(
  address: string,
  reason: string,
  { cause }: { cause?: unknown } = {},
): schema.errors.JackdawlinkError {
  const message = `${address} gave no usable answer: ${reason}`;
  return new schema.errors.PeerUnavailableError(message, { cause });
}
