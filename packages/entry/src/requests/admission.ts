/**
 * Admission control: authenticates a caller's request and checks its headers against the
 * configuration, before its body is read.
 *
 * @module
 */
import * as crypto from "node:crypto";
import type * as nodeHttp from "node:http";
import type { requests as policy } from "@jackdawlink/policy";
import { config, http } from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as uuid from "uuid";
import * as v from "valibot";
import * as callerAnswer from "./caller_answer.ts";
import type * as requestIndex from "./request_index.ts";
import type * as requestJob from "./request_job.ts";

/** Methods that HTTP defines as idempotent. */
const REPEATABLE_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "TRACE",
]);

/** Values of the header that overrides whether a request is repeatable. */
const REPEATABLE_VALUES: Readonly<Record<string, boolean>> = { yes: true, no: false };

/** Headers of the caller that are not forwarded, or that the entry sets itself. */
const DROPPED_HEADERS = [
  "authorization",
  "host",
  "content-length",
  "expect",
  http.DEADLINE_HEADER,
  http.REPEATABLE_HEADER,
  http.URGENCY_HEADER,
  http.REQUEST_ID_HEADER,
  http.TEAM_HEADER,
  http.ATTEMPT_HEADER,
  http.OUTCOME_HEADER,
] as const;

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;
const DEADLINE_PATTERN = /^[1-9]\d{0,8}$/;
const UUID_VERSION = 7;

/** A request as received, before admission. */
export interface IncomingRequest {
  readonly requestId: string;
  readonly queueName: string;
  /** Path and query that follow the queue's name in the URL. */
  readonly path: string;
  readonly message: nodeHttp.IncomingMessage;
  readonly nowMs: number;
}

/** An admitted request whose body has not been read. */
export type RequestWithoutBody = Omit<requestJob.AdmittedRequest, "body">;

/** Checks the queue, the key, the team's limit and the headers of a request. */
export function admit(
  incoming: IncomingRequest,
  index: requestIndex.RequestIndex,
): Result<RequestWithoutBody, policy.outcome.RefusalType> {
  const queue = index.queue(incoming.queueName);
  if (queue === undefined) return err("unknownQueue");
  const { headers } = incoming.message;
  const caller = authenticate(headers.authorization, { queue, index });
  if (caller.isErr()) return err(caller.error);
  if (!index.hasLimit(caller.value.team)) return err("teamWithoutLimit");
  if (Number(headers["content-length"] ?? 0) > queue.indexedService.maxRequestBytes) {
    return err("requestTooLarge");
  }
  return readHeaders(incoming, queue).map((parsed) => ({ ...parsed, ...caller.value }));
}

/** Returns a refusal as the result of a failed admission. */
export function refusal(
  type: policy.outcome.RefusalType,
): Result<RequestWithoutBody, policy.outcome.RefusalType> {
  return err(type);
}

/** Determines the caller's team from its key, or from an open queue if there is no key. */
function authenticate(
  authorization: string | undefined,
  { queue, index }: { queue: requestIndex.IndexedQueue; index: requestIndex.RequestIndex },
): Result<{ team: string; keyDigest: Buffer | null }, policy.outcome.RefusalType> {
  if (authorization === undefined) {
    if (queue.openTeam === undefined) return err("keyMissing");
    return ok({ team: queue.openTeam, keyDigest: null });
  }
  const secret = BEARER_PATTERN.exec(authorization)?.[1];
  if (secret === undefined) return err("keyRefused");
  const keyDigest = crypto.createHash("sha256").update(secret).digest();
  const team = index.teamOfDigest(keyDigest);
  return team === undefined ? err("keyRefused") : ok({ team, keyDigest });
}

/** Validates the headers that control how the request is run. */
function readHeaders(
  { requestId, path, message, nowMs }: IncomingRequest,
  queue: requestIndex.IndexedQueue,
): Result<Omit<RequestWithoutBody, "team" | "keyDigest">, policy.outcome.RefusalType> {
  const { headers } = message;
  const method = message.method ?? "GET";
  const urgency = headerText(headers, http.URGENCY_HEADER) ?? queue.urgency;
  const repeatableText = headerText(headers, http.REPEATABLE_HEADER);
  const deadlineText = headerText(headers, http.DEADLINE_HEADER);
  const idempotencyKey = headerText(headers, http.IDEMPOTENCY_KEY_HEADER) ?? null;
  if (!v.is(config.urgencySchema, urgency)) return err("invalidRequest");
  if (repeatableText !== undefined && !Object.hasOwn(REPEATABLE_VALUES, repeatableText)) {
    return err("invalidRequest");
  }
  if (deadlineText !== undefined && !DEADLINE_PATTERN.test(deadlineText)) {
    return err("invalidRequest");
  }
  if (idempotencyKey !== null && !isUuidV7(idempotencyKey)) return err("invalidRequest");
  const maxTotalMs = queue.maxWaitMs + queue.indexedService.maxRunMs;
  const timeLimitMs = Math.min(maxTotalMs, Number(deadlineText ?? maxTotalMs));
  return ok({
    requestId,
    queue,
    service: queue.service,
    method,
    path,
    headers: headersForBackendServer(headers),
    urgency,
    repeatable: REPEATABLE_VALUES[repeatableText ?? ""] ?? REPEATABLE_METHODS.has(method),
    idempotencyKey: idempotencyKey?.toLowerCase() ?? null,
    enqueuedAtMs: nowMs,
    expiresAtMs: nowMs + Math.min(queue.maxWaitMs, timeLimitMs),
    deadlineAtMs: nowMs + timeLimitMs,
  });
}

function headersForBackendServer(
  headers: nodeHttp.IncomingHttpHeaders,
): nodeHttp.OutgoingHttpHeaders {
  const forwarded = callerAnswer.endToEndHeaders(headers);
  for (const name of DROPPED_HEADERS) delete forwarded[name];
  return forwarded;
}

function headerText(headers: nodeHttp.IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(",") : value;
}

function isUuidV7(text: string): boolean {
  return uuid.validate(text) && uuid.version(text) === UUID_VERSION;
}
