/**
 * Requests between nodes: an entry queries and notifies the owner. Messages are msgpack frames over
 * WebSockets, each with a request id.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import type * as ports from "@jackdawlink/ports";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { WebSocket, WebSocketServer } from "ws";

/** An owner responds from memory within a few ms; on a timeout the caller still has time for a fallback. */
const REQUEST_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 500;

const requestSchema = v.variant("kind", [
  v.object({ kind: v.literal("state"), jobId: v.string() }),
  v.object({ kind: v.literal("pending"), queue: v.string() }),
  v.object({ kind: v.literal("accepted"), job: schema.scheduling.jobSchema, revision: v.number() }),
  v.object({ kind: v.literal("cancelled"), jobId: v.string() }),
  v.object({ kind: v.literal("takeover-offer"), fencingToken: v.number() }),
]);
const noticeSchema = v.variant("kind", [
  v.object({ kind: v.literal("store-lost"), fencingToken: v.number() }),
  v.object({ kind: v.literal("released"), fencingToken: v.number() }),
]);
const responseSchema = v.variant("kind", [
  v.object({ kind: v.literal("state"), state: schema.scheduling.jobStateSchema }),
  v.object({ kind: v.literal("pending"), count: v.number() }),
  v.object({ kind: v.literal("noted") }),
  v.object({ kind: v.literal("unknown-job") }),
  v.object({ kind: v.literal("not-owner") }),
]);
const requestFrameSchema = v.tuple([v.number(), requestSchema]);
const responseFrameSchema = v.tuple([v.number(), responseSchema]);
/** Notices have no response, and a null in place of the request id. */
const noticeFrameSchema = v.tuple([v.null(), noticeSchema]);

/**
 * A request of an entry: reads a job's state or a queue's count, reports a stored change, or tells that the
 * store serves the entry.
 */
export type PeerRequest = v.InferOutput<typeof requestSchema>;
/** The owner's response; `not-owner` if the node does not own the scheduling. */
export type PeerResponse = v.InferOutput<typeof responseSchema>;

/** What the owner tells connected nodes: the store refuses it, or it has ended its term. */
export type PeerNotice = v.InferOutput<typeof noticeSchema>;

const packr = new Packr({ useRecords: false });

/** Serves the requests of other nodes. */
export class PeerServer {
  readonly #server: WebSocketServer;

  constructor(address: string, { handle, log }: {
    readonly handle: (request: PeerRequest) => PeerResponse;
    readonly log: ports.log.Log;
  }) {
    const { host, port } = schema.names.splitAddress(address);
    this.#server = new WebSocketServer({ host, port, perMessageDeflate: false });
    this.#server.on("error", (error) => log.error("Peer server failed", { reason: error.message }));
    this.#server.on("connection", (socket) => {
      socket.on("error", (error) => log.debug("Peer connection failed", { reason: error.message }));
      socket.on("message", (data: Buffer) => {
        const frame = v.safeParse(requestFrameSchema, unpack(data));
        if (frame.success) {
          const [id, request] = frame.output;
          socket.send(packr.pack([id, handle(request)]));
        } else {
          log.warn("Could not decode a peer request", { bytes: data.length });
          socket.close();
        }
      });
    });
  }

  /** Sends a notice to up to `maxCount` of the connected nodes, chosen by `random`. */
  notify(notice: PeerNotice, { maxCount, random }: {
    readonly maxCount: number;
    readonly random: () => number;
  }): void {
    const frame = packr.pack([null, notice]);
    const open = [...this.#server.clients].filter(({ readyState }) =>
      readyState === WebSocket.OPEN
    );
    const firstIndex = Math.floor(random() * open.length);
    for (let count = 0; count < Math.min(maxCount, open.length); count++) {
      open[(firstIndex + count) % open.length]!.send(frame);
    }
  }

  close(): void {
    this.#server.clients.forEach((socket) => socket.terminate());
    this.#server.close();
  }
}

/** Sends requests to one node at a time, the owner, over a persistent connection. */
export class PeerClient {
  readonly #log: ports.log.Log;
  readonly #onNotice: (notice: PeerNotice) => void;
  readonly #pendingRequests = new Map<number, (response: PeerResponse | undefined) => void>();
  #connection: {
    readonly address: string;
    readonly socket: WebSocket;
    readonly opened: Promise<boolean>;
  } | undefined;
  #lastId = 0;

  constructor({ log, onNotice }: {
    readonly log: ports.log.Log;
    /** Called with each notice of a node to which this client is connected. */
    readonly onNotice: (notice: PeerNotice) => void;
  }) {
    this.#log = log;
    this.#onNotice = onNotice;
  }

  /** Sends a request and waits for its response; opens a connection if there is none to the address. */
  async request(
    address: string,
    request: PeerRequest,
  ): Promise<Result<PeerResponse, schema.errors.JackdawlinkError>> {
    const connection = this.#connect(address);
    if (!await connection.opened) {
      return err(new schema.errors.PeerUnavailableError(`No connection to ${address}`));
    }
    const id = ++this.#lastId;
    const response = await new Promise<PeerResponse | undefined>((resolve) => {
      const timer = setTimeout(() => {
        this.#log.info("Peer is not responding", { address, question: request.kind });
        // A connection that stopped responding does not recover; the next request opens a new one.
        connection.socket.terminate();
        resolve(undefined);
      }, REQUEST_TIMEOUT_MS);
      this.#pendingRequests.set(id, (received) => {
        clearTimeout(timer);
        resolve(received);
      });
      connection.socket.send(packr.pack([id, request]));
    });
    this.#pendingRequests.delete(id);
    return response === undefined
      ? err(new schema.errors.PeerUnavailableError(`${address} did not answer`))
      : ok(response);
  }

  close(): void {
    this.#connection?.socket.terminate();
  }

  #connect(address: string): { readonly socket: WebSocket; readonly opened: Promise<boolean> } {
    if (
      this.#connection?.address === address && this.#connection.socket.readyState <= WebSocket.OPEN
    ) {
      return this.#connection;
    }
    this.#connection?.socket.terminate();
    const socket = new WebSocket(`ws://${address}`, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    const opened = new Promise<boolean>((resolve) => {
      socket.once("open", () => resolve(true));
      socket.once("close", () => resolve(false));
    });
    socket.on(
      "error",
      (error) =>
        this.#log.info("Connection to the owner failed", { address, reason: error.message }),
    );
    socket.on("close", () => this.#failPendingRequests(socket));
    socket.on("message", (data: Buffer) => {
      const message = unpack(data);
      const frame = v.safeParse(responseFrameSchema, message);
      if (frame.success) {
        this.#pendingRequests.get(frame.output[0])?.(frame.output[1]);
        return;
      }
      const notice = v.safeParse(noticeFrameSchema, message);
      if (notice.success) {
        this.#onNotice(notice.output[1]);
      } else {
        this.#log.warn("Could not decode a peer's message", { address, bytes: data.length });
      }
    });
    this.#connection = { address, socket, opened };
    return this.#connection;
  }

  #failPendingRequests(socket: WebSocket): void {
    if (this.#connection?.socket === socket) {
      this.#connection = undefined;
      this.#pendingRequests.forEach((complete) => complete(undefined));
    }
  }
}

function unpack(data: Buffer): unknown {
  try {
    return packr.unpack(data);
  } catch {
    return undefined;
  }
}
