/**
 * One attempt to run a request on a backend server.
 *
 * @module
 */
import type * as nodeHttp from "node:http";
import type * as ports from "@jackdawlink/ports";
import type { requests as policy } from "@jackdawlink/policy";
import { errors, http } from "@jackdawlink/schema";
import type * as undici from "undici";
import type * as backendConnections from "./backend_connections.ts";
import type * as requestJob from "./request_job.ts";

/** An attempt was aborted before a complete answer was forwarded. */
export const AttemptError = errors.JackdawlinkError.subclass("AttemptError");

/** Answers up to this size are buffered until complete, so that a failed one can be retried. */
const MAX_BUFFERED_ANSWER_BYTES = 65_536;
/** How long after the run's deadline an answer is still accepted. */
const ANSWER_GRACE_MS = 100;

/** Returns why an attempt must not be sent, or null if it may be sent. */
export type SendCheck = () => policy.outcome.RefusalType | null;

/** How an attempt ended. */
export interface AttemptEnd {
  /** "whole" if a complete answer was forwarded, or the phase in which the attempt failed. */
  readonly result: "whole" | policy.retry.AttemptPhase;
  /** The status of a complete answer; null if there was none. */
  readonly status: number | null;
  readonly reason: string;
  /** The refusal by {@link AttemptOptions.checkBeforeSend} or of an invalid request. */
  readonly refusal: policy.outcome.RefusalType | null;
  /** Whether the backend server announced that it closes the connection. */
  readonly announcedClose: boolean;
  /** When the run is certainly over, on the clock's steady reading; null if it is over already. */
  readonly runEndsAtMs: number | null;
}

/** Inputs of {@link BackendAttempt}. */
export interface AttemptOptions {
  readonly job: requestJob.RequestJob;
  readonly connection: backendConnections.BackendConnection;
  readonly clock: ports.clock.Clock;
  readonly maxAnswerBytes: number;
  /** The run time allowed to the backend server, in milliseconds. */
  readonly runMs: number;
  readonly checkBeforeSend: SendCheck;
}

/** Sends one request and forwards its answer to the caller. */
export class BackendAttempt {
  readonly #options: AttemptOptions;
  readonly #bufferedChunks: Buffer[] = [];
  readonly #ended: Promise<AttemptEnd>;
  #resolve!: (end: AttemptEnd) => void;
  #sentAtMs: number | null = null;
  #refusal: policy.outcome.RefusalType | null = null;
  #reason = "";
  #head: { status: number; headers: nodeHttp.IncomingHttpHeaders } | null = null;
  #answerBytes = 0;
  #streaming = false;
  #cancelTimeout: () => void = () => undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.#ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Runs the attempt; never rejects. */
  run(): Promise<AttemptEnd> {
    const { job, connection, clock, runMs } = this.#options;
    const { request } = job;
    this.#cancelTimeout = clock.after(runMs + ANSWER_GRACE_MS, () => this.#onTimeout());
    connection.client.dispatch({
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: this.#requestHeaders() as nodeHttp.IncomingHttpHeaders,
      body: request.body.length > 0 ? request.body : null,
    }, this.#handler());
    return this.#ended;
  }

  #requestHeaders(): nodeHttp.OutgoingHttpHeaders {
    const { job, runMs } = this.#options;
    return {
      ...job.request.headers,
      [http.REQUEST_ID_HEADER]: job.request.requestId,
      [http.TEAM_HEADER]: job.request.team,
      [http.ATTEMPT_HEADER]: String(job.attempts),
      [http.DEADLINE_HEADER]: String(runMs),
    };
  }

  #handler(): undici.Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => this.#onRequestStart(controller),
      onResponseStart: (controller, status, headers) => {
        if (status >= 200) this.#onResponseStart(controller, { status, headers });
      },
      onResponseData: (controller, chunk) => this.#onResponseData(controller, chunk),
      onResponseEnd: () => this.#onResponseEnd(),
      onResponseError: (_controller, error) => this.#onResponseError(error),
    };
  }

  /**
   * Called right before the first byte is written. A second call would mean that the client library
   * sends the request again, so it aborts the attempt.
   */
  #onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.#sentAtMs !== null) {
      this.#abort(controller, "connection lost");
      return;
    }
    this.#refusal = this.#options.checkBeforeSend();
    if (this.#refusal !== null) {
      this.#abort(controller, this.#refusal);
      return;
    }
    this.#sentAtMs = this.#options.clock.steadyMs();
  }

  #onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    head: { status: number; headers: nodeHttp.IncomingHttpHeaders },
  ): void {
    const fault = this.#findFault(head);
    if (fault !== null) {
      this.#abort(controller, fault);
      return;
    }
    this.#head = head;
  }

  /** Returns why an answer can't be forwarded, or null if it can. */
  #findFault({ status, headers }: AnswerHead): string | null {
    const { job, maxAnswerBytes } = this.#options;
    const echoedId = headers[http.REQUEST_ID_HEADER];
    if (echoedId !== undefined && echoedId !== job.request.requestId) return "crossed answer";
    if (Number(headers["content-length"] ?? 0) > maxAnswerBytes) return "oversized answer";
    const isFramed = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    const hasNoBody = job.request.method === "HEAD" || status === 204 || status === 304;
    return isFramed || hasNoBody ? null : "answer without a length";
  }

  #onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.#answerBytes += chunk.length;
    if (this.#answerBytes > this.#options.maxAnswerBytes) {
      this.#abort(controller, "oversized answer");
      return;
    }
    if (!this.#streaming) {
      this.#bufferedChunks.push(Buffer.from(chunk));
      if (this.#answerBytes <= MAX_BUFFERED_ANSWER_BYTES) return;
      if (!this.#isRefusal()) this.#startStreaming(controller);
      return;
    }
    this.#write(controller, chunk);
  }

  /** Forwards the buffered part of the answer, and all later parts as they arrive. */
  #startStreaming(controller: undici.Dispatcher.DispatchController): void {
    this.#streaming = true;
    this.#options.job.answer.start(this.#head!);
    for (const chunk of this.#bufferedChunks.splice(0)) this.#write(controller, chunk);
  }

  #write(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    const { answer } = this.#options.job;
    if (answer.write(chunk) || controller.paused) return;
    controller.pause();
    answer.onDrain(() => controller.resume());
  }

  #onResponseEnd(): void {
    const { job } = this.#options;
    const { status } = this.#head!;
    if (this.#isRefusal()) {
      this.#finish({ result: "refused", status, reason: "backend server refused" });
      return;
    }
    if (this.#streaming) job.answer.end();
    else job.answer.sendComplete(this.#head!, Buffer.concat(this.#bufferedChunks));
    this.#finish({ result: "whole", status, reason: "answered" });
  }

  /** A backend server refuses a request with an error status and the outcome "not-run". */
  #isRefusal(): boolean {
    const head = this.#head!;
    return head.status >= 400 && head.headers[http.OUTCOME_HEADER] === "not-run";
  }

  #onResponseError(error: Error): void {
    if (this.#streaming) this.#options.job.answer.destroy();
    const result = this.#sentAtMs === null ? "notSent" : "sent";
    if (result === "notSent" && isInvalidRequestError(error)) this.#refusal = "invalidRequest";
    this.#finish({ result, status: null, reason: this.#reason || error.message });
  }

  /** Ignores HEAD requests, as the client library itself asks to close their connections. */
  #announcesClose(): boolean {
    if (this.#options.job.request.method === "HEAD") return false;
    return String(this.#head?.headers.connection ?? "").toLowerCase().includes("close");
  }

  #onTimeout(): void {
    this.#reason = "timeout";
    const { client } = this.#options.connection;
    client.destroy(new AttemptError("Attempt timed out")).catch(() => undefined);
  }

  #abort(controller: undici.Dispatcher.DispatchController, reason: string): void {
    this.#reason = reason;
    controller.abort(new AttemptError(`Attempt aborted: ${reason}`));
  }

  #finish(end: Pick<AttemptEnd, "result" | "status" | "reason">): void {
    this.#cancelTimeout();
    const { runMs } = this.#options;
    const mayStillRun = end.result === "sent" && this.#sentAtMs !== null;
    this.#resolve({
      ...end,
      refusal: this.#refusal,
      announcedClose: this.#announcesClose(),
      runEndsAtMs: mayStillRun ? this.#sentAtMs! + runMs : null,
    });
  }
}

/** The status line and headers of an answer. */
type AnswerHead = Readonly<{ status: number; headers: nodeHttp.IncomingHttpHeaders }>;

/** Whether the client library rejected the method, the path or a header of the request. */
function isInvalidRequestError(error: Error & { code?: string }): boolean {
  return error.code === "UND_ERR_INVALID_ARG" || error.code === "UND_ERR_NOT_SUPPORTED";
}
