/**
 * The HTTP server for callers.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as nodeHttp from "node:http";
import * as nodeHttps from "node:https";
import type * as net from "node:net";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { errors, http, names, type settings } from "@jackdawlink/schema";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import type * as requestPath from "./request_path.ts";

/** The server can't listen on its address, or can't read a certificate file. */
export const CallerServerError = errors.JackdawlinkError.subclass("CallerServerError");

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** The entry's settings that the server uses. */
export type CallerServerSettings = Pick<
  settings.EntrySettings,
  "callerAddress" | "callerTls"
>;

/** Accepts connections of callers and hands their requests to the request path. */
export class CallerServer {
  readonly #settings: CallerServerSettings;
  readonly #path: requestPath.RequestPath;
  #server: nodeHttp.Server | null = null;

  constructor(serverSettings: CallerServerSettings, path: requestPath.RequestPath) {
    this.#settings = serverSettings;
    this.#path = path;
  }

  /** Starts listening and returns the address as `host:port`. */
  start(): ResultAsync<string, errors.JackdawlinkError> {
    return ResultAsync.fromPromise(
      this.#listen(),
      (cause) => new CallerServerError("Can't serve callers", { cause }),
    );
  }

  /** Stops listening, closes idle connections, and resolves once the others have ended. */
  stop(): Promise<void> {
    const server = this.#server;
    if (server === null) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
  }

  async #listen(): Promise<string> {
    const { host, port } = names.splitAddress(this.#settings.callerAddress);
    const server = await this.#createServer();
    this.#server = server;
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, () => resolve());
    });
    return `${host}:${(server.address() as net.AddressInfo).port}`;
  }

  async #createServer(): Promise<nodeHttp.Server> {
    const { fetch } = createApp(this.#path);
    const tls = this.#settings.callerTls;
    if (tls === undefined) {
      return createAdaptorServer({ fetch, createServer: nodeHttp.createServer }) as nodeHttp.Server;
    }
    const serverOptions: nodeHttps.ServerOptions = {
      cert: await fs.readFile(tls.certificateFile),
      key: await fs.readFile(tls.keyFile),
    };
    return createAdaptorServer({
      fetch,
      createServer: nodeHttps.createServer,
      serverOptions,
    }) as nodeHttp.Server;
  }
}

/**
 * Creates the routes. Bodies and answers use Node's own streams, which report when a caller
 * disconnects.
 */
function createApp(path: requestPath.RequestPath): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.all(`${http.QUEUE_PATH_PREFIX}:queue/*`, async (context) => {
    const { incoming, outgoing } = context.env;
    const target = splitQueuePath(incoming.url ?? "");
    if (target === null) return context.notFound();
    await path.serve({ ...target, message: incoming, response: outgoing });
    return RESPONSE_ALREADY_SENT;
  });
  app.notFound((context) => {
    const error = { type: "notFound", message: "No such path", requestId: "", outcome: "not-run" };
    return context.json({ error }, 404, { [http.OUTCOME_HEADER]: "not-run" });
  });
  return app;
}

/** Splits a URL into the queue's name and the path at the backend server. */
function splitQueuePath(url: string): { queueName: string; path: string } | null {
  if (!url.startsWith(http.QUEUE_PATH_PREFIX)) return null;
  const rest = url.slice(http.QUEUE_PATH_PREFIX.length);
  const slashIndex = rest.indexOf("/");
  if (slashIndex < 0) return null;
  return { queueName: rest.slice(0, slashIndex), path: rest.slice(slashIndex) };
}
