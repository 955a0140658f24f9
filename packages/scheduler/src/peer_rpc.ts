/**
 * Questions between the nodes: an entry asks the owner. Messages are msgpack over web sockets.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import type * as ports from "@jackdawlink/ports";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { WebSocket, WebSocketServer } from "ws";

/** An owner answers from memory within a few ms; a caller has time for one more way to an answer. */
const REQUEST_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 500;

const requestSchema = v.variant("kind", [
  v.object({ kind: v.literal("state"), jobId: v.string() }),
  v.object({ kind: v.literal("pending"), queue: v.string() }),
  v.object({ kind: v.literal("accepted"), job: schema.scheduling.jobSchema, revision: v.number() }),
  v.object({ kind: v.literal("cancelled"), jobId: v.string() }),
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

export type PeerRequest = v.InferOutput<typeof requestSchema>;
export type PeerResponse = v.InferOutput<typeof responseSchema>;

const packr = new Packr({ useRecords: false });

/** Answers the questions of other nodes. */
export class PeerServer {
  readonly #server: WebSocketServer;

  constructor(address: string, { answer, log }: {
    readonly answer: (question: PeerRequest) => PeerResponse;
    readonly log: ports.log.Log;
  }) {
    const { host, port } = schema.names.splitAddress(address);
    this.#server = new WebSocketServer({ host, port, perMessageDeflate: false });
    this.#server.on("error", (error) => log.error("Peer server failed", { reason: error.message }));
    this.#server.on("connection", (socket) => {
      socket.on("error", (error) => log.debug("Peer left", { reason: error.message }));
      socket.on("message", (data: Buffer) => {
        const frame = v.safeParse(requestFrameSchema, unpack(data));
        if (frame.success) {
          const [id, question] = frame.output;
          socket.send(packr.pack([id, answer(question)]));
        } else {
          log.warn("Peer question not understood", { bytes: data.length });
          socket.close();
        }
      });
    });
  }

  close(): void {
    this.#server.clients.forEach((socket) => socket.terminate());
    this.#server.close();
  }
}

/** Asks one other node at a time, on one kept connection. */
export class PeerClient {
  readonly #log: ports.log.Log;
  readonly #pendingRequests = new Map<number, (answer: PeerResponse | undefined) => void>();
  #connection: {
    readonly address: string;
    readonly socket: WebSocket;
    readonly opened: Promise<boolean>;
  } | undefined;
  #lastId = 0;

  constructor(log: ports.log.Log) {
    this.#log = log;
  }

  async request(
    address: string,
    question: PeerRequest,
  ): Promise<Result<PeerResponse, schema.errors.JackdawlinkError>> {
    const connection = this.#connect(address);
    if (!await connection.opened) {
      return err(new schema.errors.PeerUnavailableError(`No connection to ${address}`));
    }
    const id = ++this.#lastId;
    const answer = await new Promise<PeerResponse | undefined>((resolve) => {
      const timer = setTimeout(() => {
        this.#log.info("Peer does not answer", { address, question: question.kind });
        // A silent connection stays silent; the next question opens another one.
        connection.socket.terminate();
        resolve(undefined);
      }, REQUEST_TIMEOUT_MS);
      this.#pendingRequests.set(id, (given) => {
        clearTimeout(timer);
        resolve(given);
      });
      connection.socket.send(packr.pack([id, question]));
    });
    this.#pendingRequests.delete(id);
    return answer === undefined
      ? err(new schema.errors.PeerUnavailableError(`${address} did not answer`))
      : ok(answer);
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
      const frame = v.safeParse(responseFrameSchema, unpack(data));
      if (frame.success) {
        this.#pendingRequests.get(frame.output[0])?.(frame.output[1]);
      }
    });
    this.#connection = { address, socket, opened };
    return this.#connection;
  }

  #failPendingRequests(socket: WebSocket): void {
    if (this.#connection?.socket === socket) {
      this.#connection = undefined;
      this.#pendingRequests.forEach((settle) => settle(undefined));
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
