/**
 * The answer to one caller: the forwarded answer of a backend server, or a refusal by the entry.
 *
 * @module
 */
import type * as nodeHttp from "node:http";
import { http } from "@jackdawlink/schema";
import { requests as policy } from "@jackdawlink/policy";

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "proxy-connection",
]);

/** The status line and headers of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: nodeHttp.IncomingHttpHeaders;
}

/** A refusal with the outcome that is reported to the caller. */
export interface Refusal {
  readonly type: policy.outcome.RefusalType;
  readonly outcome: http.Outcome;
  /** The status of an earlier answer to the same idempotency key. */
  readonly keptStatus?: number | null;
}

/** Writes one answer to one caller. Drops all writes after the caller has disconnected. */
export class CallerAnswer {
  readonly requestId: string;
  readonly #response: nodeHttp.ServerResponse;
  readonly #closeConnection: () => boolean;
  readonly #goneCallbacks: (() => void)[] = [];
  #drainCallback: (() => void) | null = null;
  #callerGone = false;
  #started = false;

  constructor(
    requestId: string,
    response: nodeHttp.ServerResponse,
    { closeConnection }: { closeConnection: () => boolean },
  ) {
    this.requestId = requestId;
    this.#response = response;
    this.#closeConnection = closeConnection;
    response.once("close", () => this.#onClose());
    response.on("drain", () => this.#runDrainCallback());
  }

  /** True once the caller's connection has closed before the answer was complete. */
  get callerGone(): boolean {
    return this.#callerGone;
  }

  /** Whether any byte of an answer has been written. */
  get started(): boolean {
    return this.#started;
  }

  /** Calls back when the caller disconnects early, or at once if it has disconnected already. */
  onCallerGone(callback: () => void): void {
    if (this.#callerGone) callback();
    else this.#goneCallbacks.push(callback);
  }

  /** Forwards a complete answer. */
  sendComplete(head: AnswerHead, body: Buffer): void {
    this.start(head);
    if (!this.#callerGone) this.#response.end(body);
  }

  /** Starts a streamed answer by writing its status line and headers. */
  start(head: AnswerHead): void {
    this.#started = true;
    if (this.#callerGone) return;
    const headers = endToEndHeaders(head.headers);
    headers[http.OUTCOME_HEADER] = "answered";
    headers[http.REQUEST_ID_HEADER] = this.requestId;
    this.#requestCloseIfNeeded(headers);
    this.#response.writeHead(head.status, headers);
  }

  /**
   * Writes a chunk of the body; false if the writer should pause until {@link onDrain} calls back.
   */
  write(chunk: Buffer): boolean {
    return this.#callerGone || this.#response.write(chunk);
  }

  /** Calls back once when the write buffer has drained or the caller has disconnected. */
  onDrain(callback: () => void): void {
    if (this.#callerGone) {
      callback();
      return;
    }
    this.#drainCallback = callback;
  }

  /** Ends a streamed answer. */
  end(): void {
    if (!this.#callerGone) this.#response.end();
  }

  /**
   * Breaks the caller's connection, so that the caller doesn't take a partial answer for complete.
   */
  destroy(): void {
    this.#response.destroy();
  }

  /** Answers with a refusal by the entry. */
  refuse({ type, outcome, keptStatus = null }: Refusal): void {
    if (this.#callerGone) return;
    this.#started = true;
    const { status, message, retryAfterMs } = policy.outcome.REFUSALS[type];
    const error: http.ErrorBody["error"] = { type, message, requestId: this.requestId, outcome };
    if (retryAfterMs !== null) error.retryAfterMs = retryAfterMs;
    if (keptStatus !== null) error.keptStatus = keptStatus;
    const body = Buffer.from(JSON.stringify({ error }));
    const headers: nodeHttp.OutgoingHttpHeaders = {
      "content-type": "application/json",
      "content-length": body.length,
      [http.OUTCOME_HEADER]: outcome,
      [http.REQUEST_ID_HEADER]: this.requestId,
    };
    if (retryAfterMs !== null) {
      headers["retry-after"] = String(Math.ceil(retryAfterMs / 1_000));
    }
    this.#requestCloseIfNeeded(headers);
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  #runDrainCallback(): void {
    const callback = this.#drainCallback;
    this.#drainCallback = null;
    callback?.();
  }

  #onClose(): void {
    if (this.#response.writableFinished) return;
    this.#callerGone = true;
    this.#runDrainCallback();
    for (const callback of this.#goneCallbacks) callback();
  }

  /**
   * Asks for the connection to be closed during a drain, or if the request was not read to its end.
   */
  #requestCloseIfNeeded(headers: nodeHttp.OutgoingHttpHeaders): void {
    if (this.#closeConnection() || !this.#response.req.complete) headers["connection"] = "close";
  }
}

/** Returns the end-to-end headers, which are forwarded in both directions. */
export function endToEndHeaders(
  headers: nodeHttp.IncomingHttpHeaders,
): nodeHttp.OutgoingHttpHeaders {
  const connectionOptions = new Set(
    String(headers.connection ?? "").toLowerCase().split(",").map((name) => name.trim()),
  );
  const forwarded: nodeHttp.OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)) {
      continue;
    }
    forwarded[name] = value;
  }
  return forwarded;
}
