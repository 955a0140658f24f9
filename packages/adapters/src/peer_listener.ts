/**
 * Accepts links from peers. The first message on a link must be hello; every message is validated
 * before it is passed on.
 *
 * @module
 */
import * as http from "node:http";
import * as https from "node:https";
import type { AddressInfo } from "node:net";
import type { TLSSocket } from "node:tls";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { type RawData, type WebSocket, WebSocketServer } from "ws";
import * as codec from "./peer_codec.ts";
import * as peerTls from "./peer_tls.ts";

/** The listener cannot bind its address. */
export const ListenError = schema.errors.JackdawlinkError.subclass("ListenError");

/** The reason for which a link or a message of a peer was refused. */
export type Refusal = "badMessage" | "badHello" | "tooManyLinks" | "notAllowed";

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  readonly tls: peerTls.PeerTlsMaterial | null;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly onHello: (hello: schema.peer.Hello) => void;
  readonly onMessage: (message: schema.peer.Message, sender: ports.peers.Sender) => void;
  /** Called when the current link of a member has closed. */
  readonly onDisconnected: (memberId: string) => void;
  readonly onRefused: (reason: Refusal) => void;
}

/** The maximum message size; a larger message closes the link. */
export const MAX_MESSAGE_BYTES = 8_388_608;
const MAX_LINKS = 512;
const HELLO_TIMEOUT_MS = 5_000;
/** Peers send heartbeats all the time, so an idle link belongs to a peer that is gone. */
const IDLE_TIMEOUT_MS = 30_000;
const POLICY_VIOLATION = 1_008;

/** Accepts links from peers and keeps one link per member. */
export class PeerListener {
  readonly #options: PeerListenerOptions;
  readonly #server: http.Server | https.Server;
  readonly #webSockets: WebSocketServer;
  readonly #linkByMemberId = new Map<string, WebSocket>();

  constructor(options: PeerListenerOptions) {
    this.#options = options;
    this.#server = options.tls === null ? http.createServer() : https.createServer({
      ...options.tls,
      requestCert: true,
      rejectUnauthorized: true,
    });
    this.#webSockets = new WebSocketServer({
      server: this.#server,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#webSockets.on("connection", (socket, request) => this.#accept(socket, request));
    this.#webSockets.on("error", () => undefined);
    this.#server.on("tlsClientError", (error) => {
      options.log.warn("Link refused", { reason: error.message });
      options.onRefused("badHello");
    });
  }

  /** Starts to listen and returns the bound address. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    const { host, port } = schema.names.splitAddress(address);
    return new ResultAsync(
      new Promise<Result<string, schema.errors.JackdawlinkError>>((resolve) => {
        const fail = (cause: Error) =>
          resolve(err(new ListenError(`Cannot listen on ${address}`, { cause })));
        this.#server.once("error", fail);
        this.#server.listen(port, host, () => {
          this.#server.off("error", fail);
          const bound = this.#server.address() as AddressInfo;
          resolve(ok(`${host}:${bound.port}`));
        });
      }),
    );
  }

  close(): void {
    this.#webSockets.clients.forEach((socket) => socket.terminate());
    this.#webSockets.close();
    this.#server.close();
  }

  #accept(socket: WebSocket, request: http.IncomingMessage): void {
    socket.on("error", () => undefined);
    if (this.#webSockets.clients.size > MAX_LINKS) {
      this.#refuse(socket, "tooManyLinks");
      return;
    }
    const link = new IncomingLink(socket, {
      ...this.#options,
      certifiedMemberId: this.#options.tls === null
        ? null
        : peerTls.certifiedMemberId(request.socket as TLSSocket),
      requiresCertificate: this.#options.tls !== null,
      refuse: (reason, detail) => this.#refuse(socket, reason, detail),
      onHello: (hello) => this.#registerLink(socket, hello),
    });
    socket.on("close", () => this.#handleClose(socket, link.memberId()));
  }

  #registerLink(socket: WebSocket, hello: schema.peer.Hello): void {
    const previous = this.#linkByMemberId.get(hello.memberId);
    this.#linkByMemberId.set(hello.memberId, socket);
    if (previous !== undefined && previous !== socket) {
      previous.terminate();
    }
    this.#options.onHello(hello);
  }

  #handleClose(socket: WebSocket, memberId: string | null): void {
    if (memberId !== null && this.#linkByMemberId.get(memberId) === socket) {
      this.#linkByMemberId.delete(memberId);
      this.#options.onDisconnected(memberId);
    }
  }

  #refuse(socket: WebSocket, reason: Refusal, detail?: string): void {
    this.#options.log.warn("Link refused", { reason, detail });
    this.#options.onRefused(reason);
    socket.close(POLICY_VIOLATION);
    this.#options.clock.after(HELLO_TIMEOUT_MS, () => socket.terminate());
  }
}

interface IncomingLinkOptions extends PeerListenerOptions {
  readonly certifiedMemberId: string | null;
  readonly requiresCertificate: boolean;
  readonly refuse: (reason: Refusal, detail?: string) => void;
}

/** A link that a peer opened. */
class IncomingLink {
  readonly #options: IncomingLinkOptions;
  readonly #socket: WebSocket;
  #sender: ports.peers.Sender | null = null;
  #isRefused = false;
  #cancelIdleTimer: () => void = () => {};

  constructor(socket: WebSocket, options: IncomingLinkOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#resetIdleTimer(HELLO_TIMEOUT_MS);
    socket.on("message", (data) => this.#receive(data));
    socket.on("close", () => this.#cancelIdleTimer());
  }

  memberId(): string | null {
    return this.#sender?.memberId ?? null;
  }

  #resetIdleTimer(timeoutMs: number): void {
    this.#cancelIdleTimer();
    this.#cancelIdleTimer = this.#options.clock.after(timeoutMs, () => this.#socket.terminate());
  }

  #receive(data: RawData): void {
    if (this.#isRefused) {
      return;
    }
    this.#resetIdleTimer(IDLE_TIMEOUT_MS);
    codec.decode(data as Uint8Array).match(
      (message) => this.#handleMessage(message),
      (error) => this.#refuse("badMessage", error.message),
    );
  }

  #handleMessage(message: schema.peer.Message): void {
    if (message.type === "hello") {
      this.#handleHello(message);
      return;
    }
    if (this.#sender === null) {
      this.#refuse("badHello", `a ${message.type} came before the hello`);
      return;
    }
    this.#options.onMessage(message, this.#sender);
  }

  #handleHello(hello: schema.peer.Hello): void {
    const { certifiedMemberId, requiresCertificate } = this.#options;
    if (requiresCertificate && certifiedMemberId !== hello.memberId) {
      this.#refuse("badHello", `the certificate of ${certifiedMemberId} says ${hello.memberId}`);
      return;
    }
    if (this.#sender !== null && this.#sender.memberId !== hello.memberId) {
      this.#refuse("badHello", "a second hello names another member");
      return;
    }
    this.#sender = { memberId: hello.memberId, incarnation: hello.incarnation };
    this.#options.onHello(hello);
  }

  #refuse(reason: Refusal, detail: string): void {
    this.#isRefused = true;
    this.#options.refuse(reason, detail);
  }
}
