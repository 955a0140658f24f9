/**
 * A stand-in for a backend server. It runs each request for a given time, echoes the request's
 * identity in the answer, and records what it ran.
 *
 * The query of a request may set `runMs`, `answerBytes`, `status` and `chunked`. A run stops at the
 * deadline from the request's header or when the connection closes, whichever comes first.
 *
 * @module
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import { http as jackdawlinkHttp } from "@jackdawlink/schema";
import * as v from "valibot";
import * as faults from "./backend_server_faults.ts";
import * as record from "./backend_server_record.ts";
import { RunTimes } from "./run_times.ts";

const EXIT_CODE_OF_FAULT = 70;

/** Options of a {@link BackendServer}. */
export interface BackendServerOptions {
  readonly name: string;
  readonly slots: number;
  readonly meanRunMs: number;
  readonly seed: number;
}

/** A request in progress with its response and its run. */
interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  readonly run: record.Run;
}

/** The HTTP server of the stand-in. */
export class BackendServer {
  readonly #server: http.Server;
  readonly #recorder: record.BackendServerRecorder;
  readonly #activeFaults = new faults.ActiveFaults();
  readonly #runTimes: RunTimes;
  readonly #name: string;
  readonly #connectionNumbers = new WeakMap<net.Socket, number>();
  #connectionCount = 0;
  #isDraining = false;

  constructor({ name, slots, meanRunMs, seed }: BackendServerOptions) {
    this.#name = name;
    this.#recorder = new record.BackendServerRecorder({ name, slots });
    this.#runTimes = new RunTimes({ meanRunMs, seed });
    this.#server = http.createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => this.#onConnection(socket));
  }

  /** Starts to listen and returns `host:port`. */
  listen({ host, port }: { host: string; port: number }): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        const address = this.#server.address() as net.AddressInfo;
        resolve(`${host}:${address.port}`);
      });
    });
  }

  /**
   * Drains the server: it answers with `Connection: close` for the given time, then closes idle
   * connections, finishes running requests and resolves once all connections have ended. With a
   * linger time of zero, a request in flight on an idle connection is lost.
   */
  async stop({ lingerMs }: { lingerMs: number }): Promise<void> {
    this.#isDraining = true;
    await new Promise((resolve) => setTimeout(resolve, lingerMs));
    await this.#close();
  }

  #close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #onConnection(socket: net.Socket): void {
    if (this.#activeFaults.consume("refuseConnections") !== undefined) {
      socket.resetAndDestroy();
      return;
    }
    this.#connectionCount += 1;
    this.#connectionNumbers.set(socket, this.#connectionCount);
    this.#recorder.recordConnectionOpened();
    socket.once("close", () => this.#recorder.recordConnectionClosed());
  }

  #serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://backend-server");
    if (url.pathname.startsWith("/control/")) {
      void this.#control(url, request, response);
      return;
    }
    void this.#receive(url, request, response);
  }

  async #receive(
    url: URL,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const hash = crypto.createHash("sha256");
    try {
      for await (const chunk of request) hash.update(chunk as Buffer);
    } catch {
      return;
    }
    if (this.#activeFaults.consume("refuseRequest") !== undefined) {
      this.#refuse(response);
      return;
    }
    const run = this.#startRun({ url, request, bodySha256: hash.digest("hex") });
    this.#work({ request, response, url, run });
  }

  #refuse(response: http.ServerResponse): void {
    response.writeHead(503, { [jackdawlinkHttp.OUTCOME_HEADER]: "not-run", connection: "close" });
    response.end();
  }

  #startRun(
    { url, request, bodySha256 }: {
      url: URL;
      request: http.IncomingMessage;
      bodySha256: string;
    },
  ): record.Run {
    const run: record.Run = {
      requestId: headerOf(request, jackdawlinkHttp.REQUEST_ID_HEADER) ?? "",
      team: headerOf(request, jackdawlinkHttp.TEAM_HEADER) ?? "",
      idempotencyKey: headerOf(request, jackdawlinkHttp.IDEMPOTENCY_KEY_HEADER),
      attempt: Number(headerOf(request, jackdawlinkHttp.ATTEMPT_HEADER) ?? 1),
      method: request.method ?? "GET",
      path: url.pathname + url.search,
      bodySha256,
      connection: this.#connectionNumbers.get(request.socket) ?? 0,
      startedAtMs: Date.now(),
      endedAtMs: null,
      end: "running",
    };
    this.#recorder.recordStart(run);
    return run;
  }

  #work(exchange: Exchange): void {
    const { request, response, url, run } = exchange;
    const exitAfter = this.#activeFaults.peek("exitAfter");
    if (exitAfter !== undefined && this.#recorder.record().runs.length > exitAfter.after) {
      process.exit(EXIT_CODE_OF_FAULT);
    }
    const hang = this.#activeFaults.consume("hang") !== undefined;
    const late = this.#activeFaults.consume("late");
    const slowMs = this.#activeFaults.consume("slow")?.delayMs ?? 0;
    const runMs = Number(url.searchParams.get("runMs") ?? this.#runTimes.next()) + slowMs;
    const deadlineMs = Number(
      headerOf(request, jackdawlinkHttp.DEADLINE_HEADER) ?? Number.MAX_SAFE_INTEGER,
    );
    const overDeadline = hang || runMs > deadlineMs;
    const workMs = hang ? deadlineMs : Math.min(runMs, deadlineMs);
    const finish = () => {
      this.#recorder.recordEnd(run, overDeadline || late !== undefined ? "overDeadline" : "whole");
      if (late !== undefined) setTimeout(() => this.#answer(exchange), late.delayMs);
      else if (!hang) this.#answer(exchange, overDeadline ? 504 : undefined);
    };
    const delayMs = late === undefined ? workMs : deadlineMs;
    const timer = delayMs <= 0 ? setImmediate(finish) : setTimeout(finish, delayMs);
    response.once("close", () => {
      clearTimeout(timer as NodeJS.Timeout);
      clearImmediate(timer as NodeJS.Immediate);
      this.#recorder.recordEnd(run, response.writableFinished ? "whole" : "aborted");
    });
  }

  #answer(exchange: Exchange, status = Number(exchange.url.searchParams.get("status") ?? 200)) {
    const { request, response, url, run } = exchange;
    if (response.destroyed) return;
    const body = this.#answerBody(url, run);
    const headers: http.OutgoingHttpHeaders = {
      "content-type": "application/json",
      [jackdawlinkHttp.REQUEST_ID_HEADER]: this.#activeFaults.consume("crossed") === undefined
        ? run.requestId
        : "another-request",
    };
    if (!url.searchParams.has("chunked")) headers["content-length"] = body.length;
    const closing = this.#isDraining || this.#activeFaults.consume("connectionClose") !== undefined;
    if (closing) headers["connection"] = "close";
    const partial = this.#partialAnswer();
    response.writeHead(this.#activeFaults.consume("status")?.status ?? status, headers);
    if (partial === undefined) {
      response.end(request.method === "HEAD" ? undefined : body);
      return;
    }
    response.write(body.subarray(0, Math.floor(body.length / 2)), () => partial(response));
  }

  #partialAnswer(): ((response: http.ServerResponse) => void) | undefined {
    if (this.#activeFaults.consume("dieMidAnswer") !== undefined) {
      return () => process.exit(EXIT_CODE_OF_FAULT);
    }
    if (this.#activeFaults.consume("truncate") !== undefined) {
      return (response) => response.socket?.end();
    }
    if (this.#activeFaults.consume("resetMidAnswer") !== undefined) {
      return (response) => response.socket?.resetAndDestroy();
    }
    return undefined;
  }

  #answerBody(url: URL, run: record.Run): Buffer {
    const oversizedBytes = this.#activeFaults.consume("oversized")?.bytes;
    const bytes = oversizedBytes ?? Number(url.searchParams.get("answerBytes") ?? 0);
    const answer = {
      backendServer: this.#name,
      requestId: run.requestId,
      team: run.team,
      attempt: run.attempt,
      path: run.path,
      bodySha256: run.bodySha256,
      filler: "",
    };
    const missingBytes = bytes - JSON.stringify(answer).length;
    if (missingBytes > 0) answer.filler = "x".repeat(missingBytes);
    return Buffer.from(JSON.stringify(answer));
  }

  async #control(
    url: URL,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const handlers: Record<string, (body: string) => unknown> = {
      "GET /control/record": () => this.#recorder.record(),
      "POST /control/faults": (body) => this.#setFaults(body),
      "POST /control/reset": () => this.#recorder.reset(),
    };
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const handler = handlers[`${request.method} ${url.pathname}`];
    const result = handler?.(Buffer.concat(chunks).toString());
    response.writeHead(handler === undefined ? 404 : 200, { "content-type": "application/json" });
    response.end(JSON.stringify(result ?? {}));
  }

  #setFaults(body: string): unknown {
    const parsed = v.parse(faults.faultsBodySchema, JSON.parse(body));
    this.#activeFaults.set(parsed.faults);
    return parsed;
  }
}

function headerOf(request: http.IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === "string" ? value : null;
}
