/**
 * An outgoing link to a peer: connects, sends hello first, and reconnects with backoff.
 *
 * @module
 */
import type { TLSSocket } from "node:tls";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { WebSocket } from "ws";
import { BackOff } from "./back_off.ts";
import * as codec from "./peer_codec.ts";
import * as peerTls from "./peer_tls.ts";

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  readonly address: string;
  /** The local IP address of the connection; chosen by the system if undefined. */
  readonly localHost?: string;
  /** The member expected at the address; null if it is not known yet. */
  readonly expectedMemberId: string | null;
  readonly hello: () => schema.peer.Hello;
  readonly tls: peerTls.PeerTlsMaterial | null;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly random: () => number;
}

/** Messages are dropped while more than this number of bytes waits to be sent. */
export const MAX_BUFFERED_BYTES = 1_048_576;
const DIAL_TIMEOUT_MS = 2_000;
const PING_INTERVAL_MS = 1_000;
const PONG_TIMEOUT_MS = 3_000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 2_000;

/** A one-way link that sends messages and never receives any. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #backOff: BackOff;
  #socket: WebSocket | null = null;
  #certifiedMemberId: string | null = null;
  #lastPongAtMs = 0;
  #cancelTimer: () => void = () => {};
  #isClosed = false;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#backOff = new BackOff({
      random: options.random,
      baseMs: RETRY_BASE_MS,
      capMs: RETRY_CAP_MS,
    });
    this.#dial();
  }

  /** Whether the link is open and authenticated for the member. */
  isOpenTo(memberId: string): boolean {
    const isOpen = this.#socket?.readyState === WebSocket.OPEN;
    return isOpen && (this.#options.tls === null || this.#certifiedMemberId === memberId);
  }

  /** Sends a message. Drops it and returns false if the link is down or its send buffer is full. */
  send(message: schema.peer.Message): boolean {
    const socket = this.#socket;
    if (socket === null || socket.readyState !== WebSocket.OPEN) {
      return false;
    }
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      return false;
    }
    socket.send(codec.encode(message), { binary: true });
    return true;
  }

  /** Sends hello again, after the incarnation has changed. */
  sendHello(): void {
    this.send(this.#options.hello());
  }

  close(): void {
    this.#isClosed = true;
    this.#cancelTimer();
    this.#socket?.close();
    this.#options.clock.after(DIAL_TIMEOUT_MS, () => this.#socket?.terminate());
  }

  #dial(): void {
    const { address, localHost, tls, expectedMemberId } = this.#options;
    const protocol = tls === null ? "ws" : "wss";
    const socket = new WebSocket(
      `${protocol}://${address}/`,
      {
        handshakeTimeout: DIAL_TIMEOUT_MS,
        localAddress: localHost,
        perMessageDeflate: false,
        ...(tls === null
          ? {}
          : { ...tls, checkServerIdentity: peerTls.serverIdentityCheck(expectedMemberId) }),
      } as ConstructorParameters<typeof WebSocket>[2],
    );
    this.#socket = socket;
    socket.on("open", () => this.#handleOpen(socket));
    socket.on("pong", () => this.#lastPongAtMs = this.#options.clock.nowMs());
    socket.on("error", (error) => this.#handleError(error));
    socket.on("close", () => this.#handleClose(socket));
  }

  #handleOpen(socket: WebSocket): void {
    const { address, clock, log, tls } = this.#options;
    if (this.#isClosed) {
      socket.close();
      return;
    }
    this.#certifiedMemberId = tls === null ? null : peerTls.certifiedMemberId(tlsSocketOf(socket));
    this.#backOff.reset();
    this.#lastPongAtMs = clock.nowMs();
    log.info("Link opened", { address });
    this.sendHello();
    this.#schedulePing(socket);
  }

  #schedulePing(socket: WebSocket): void {
    this.#cancelTimer = this.#options.clock.after(PING_INTERVAL_MS, () => {
      const silentMs = this.#options.clock.nowMs() - this.#lastPongAtMs;
      if (silentMs > PONG_TIMEOUT_MS) {
        this.#options.log.warn("Link timed out", { address: this.#options.address, silentMs });
        socket.terminate();
        return;
      }
      socket.ping();
      this.#schedulePing(socket);
    });
  }

  #handleError(error: Error): void {
    const { address, log } = this.#options;
    log.debug("Link failed", { address, reason: error.message });
  }

  #handleClose(socket: WebSocket): void {
    if (this.#socket !== socket) {
      return;
    }
    this.#socket = null;
    this.#cancelTimer();
    if (!this.#isClosed) {
      this.#cancelTimer = this.#options.clock.after(
        this.#backOff.nextDelayMs(),
        () => this.#dial(),
      );
    }
  }
}

/** Reads the socket from a field that the types of `ws` do not declare. */
function tlsSocketOf(socket: WebSocket): TLSSocket {
  return (socket as unknown as { _socket: TLSSocket })._socket;
}
