/**
 * Sends a request to stewards over HTTP, one after another until one gives a final answer. Every
 * request is safe to repeat: jobs have ids, and a VM has at most one operation.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as undici from "undici";
import * as v from "valibot";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** A steward refused a request; nothing was changed. */
export const StewardRefusalError = schema.errors.JackdawlinkError.subclass("StewardRefusalError");

/** A request to a steward; `key` is a team's secret. */
export interface StewardRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly key?: string;
}

/** The JSON object of an answer; its fields are not checked. */
export type StewardAnswer = Readonly<Record<string, unknown>>;

const REQUEST_TIMEOUT_MS = 3_000;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;

const answerSchema = v.record(v.string(), v.unknown());
const failureSchema = v.object({ error: v.object({ type: v.string(), message: v.string() }) });

/** The errors by HTTP status; any other failure status is a refusal. */
const ERRORS_BY_STATUS: Readonly<Record<number, (message: string) => JackdawlinkError>> = {
  [HTTP_BAD_REQUEST]: (message) => new schema.errors.InvalidInputError(message),
  [HTTP_UNAVAILABLE]: (message) => new schema.errors.StoreUnavailableError(message),
};

/**
 * Returns the first final answer, or the last failure if every steward lacks the store or is down.
 */
export async function askStewards(
  addresses: readonly string[],
  request: StewardRequest,
): Promise<Result<StewardAnswer, JackdawlinkError>> {
  let failure: JackdawlinkError = new schema.errors.InvalidInputError("No steward is named");
  for (const address of addresses) {
    const answer = await ask(address, request);
    if (answer.isOk() || isFinal(answer.error)) return answer;
    failure = answer.error;
  }
  return err(failure);
}

/** Whether another steward would give the same answer. */
function isFinal(error: JackdawlinkError): boolean {
  return !(error instanceof schema.errors.PeerUnavailableError) &&
    !(error instanceof schema.errors.StoreUnavailableError);
}

async function ask(
  address: string,
  { method, path, body, key }: StewardRequest,
): Promise<Result<StewardAnswer, JackdawlinkError>> {
  const authorization = key === undefined ? {} : { authorization: `Bearer ${key}` };
  try {
    const response = await undici.request(`http://${address}${path}`, {
      method,
      headers: { "content-type": "application/json", ...authorization },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const answer: unknown = await response.body.json();
    const failure = v.safeParse(failureSchema, answer);
    if (!failure.success) return ok(v.parse(answerSchema, answer));
    const { type, message } = failure.output.error;
    const makeError = ERRORS_BY_STATUS[response.statusCode] ?? makeRefusal;
    return err(makeError(`${address}: ${message} (${type})`));
  } catch (cause) {
    const message = `${address} gave no usable answer: ${(cause as Error).message}`;
    return err(new schema.errors.PeerUnavailableError(message, { cause }));
  }
}

function makeRefusal(message: string): JackdawlinkError {
  return new StewardRefusalError(message);
}
