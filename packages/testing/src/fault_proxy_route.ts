/**
 * One route of the fault proxy: a listening port that forwards to one target.
 *
 * @module
 */
import * as net from "node:net";
import { names } from "@jackdawlink/schema";
import type * as control from "./fault_proxy_control.ts";

/** The fault state of one direction. */
interface DirectionState {
  mode: "pass" | "cut" | "freeze";
  delayMs: number;
}

/** Bytes waiting for delivery; a null chunk marks the end of the stream. */
interface BufferedChunk {
  readonly chunk: Buffer | null;
  readonly dueAtMs: number;
}

/** Forwards the bytes of one direction of a connection, in order. */
class DirectionPipe {
  readonly #state: DirectionState;
  readonly #to: net.Socket;
  readonly #buffered: BufferedChunk[] = [];
  #timer: NodeJS.Timeout | undefined;
  hasLostBytes = false;

  constructor({ state, from, to }: { state: DirectionState; from: net.Socket; to: net.Socket }) {
    this.#state = state;
    this.#to = to;
    from.on("data", (chunk) => this.#accept(chunk));
    from.on("end", () => this.#accept(null));
  }

  #accept(chunk: Buffer | null): void {
    if (this.#state.mode === "cut") {
      this.hasLostBytes = true;
      return;
    }
    this.#buffered.push({ chunk, dueAtMs: performance.now() + this.#state.delayMs });
    this.flush();
  }

  /** Delivers the chunks whose delay has passed. */
  flush(): void {
    clearTimeout(this.#timer);
    if (this.#state.mode !== "pass") return;
    while (this.#buffered.length > 0) {
      const waitMs = this.#buffered[0]!.dueAtMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.flush(), waitMs);
        return;
      }
      this.#deliver(this.#buffered.shift()!.chunk);
    }
  }

  #deliver(chunk: Buffer | null): void {
    if (this.#to.destroyed) return;
    if (chunk === null) this.#to.end();
    else this.#to.write(chunk);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}

/** A client connection and its connection to the target. */
class ProxiedConnection {
  readonly #client: net.Socket;
  readonly #target: net.Socket;
  readonly #pipes: readonly DirectionPipe[];

  constructor(
    { client, target, states }: {
      client: net.Socket;
      target: net.Socket;
      states: Record<control.Direction, DirectionState>;
    },
  ) {
    this.#client = client;
    this.#target = target;
    this.#pipes = [
      new DirectionPipe({ state: states.toTarget, from: client, to: target }),
      new DirectionPipe({ state: states.toClient, from: target, to: client }),
    ];
  }

  heal(): void {
    if (this.#pipes.some((lane) => lane.hasLostBytes)) this.reset();
    for (const lane of this.#pipes) lane.flush();
  }

  reset(): void {
    for (const lane of this.#pipes) lane.stop();
    this.#client.resetAndDestroy();
    this.#target.resetAndDestroy();
  }
}

/** The faults and the open connections of one client host. */
class ClientFaults {
  readonly states: Record<control.Direction, DirectionState> = {
    toTarget: { mode: "pass", delayMs: 0 },
    toClient: { mode: "pass", delayMs: 0 },
  };
  readonly connections = new Set<ProxiedConnection>();
  isRefusing = false;

  apply(fault: control.FaultBody): void {
    FAULT_HANDLERS[fault.kind](this, fault);
  }

  setMode(mode: DirectionState["mode"], directions: readonly control.Direction[]): void {
    for (const direction of directions) this.states[direction].mode = mode;
  }

  setDelay(delayMs: number, directions: readonly control.Direction[]): void {
    for (const direction of directions) this.states[direction].delayMs = delayMs;
  }

  resetAll(): void {
    for (const connection of this.connections) connection.reset();
  }

  refuse(): void {
    this.isRefusing = true;
    this.resetAll();
  }

  heal(): void {
    this.isRefusing = false;
    this.setMode("pass", ["toTarget", "toClient"]);
    this.setDelay(0, ["toTarget", "toClient"]);
    for (const connection of this.connections) connection.heal();
  }
}

const FAULT_HANDLERS: Record<
  control.FaultBody["kind"],
  (faults: ClientFaults, fault: control.FaultBody) => void
> = {
  cut: (faults, { directions }) => faults.setMode("cut", directions),
  freeze: (faults, { directions }) => faults.setMode("freeze", directions),
  delay: (faults, { delayMs, directions }) => faults.setDelay(delayMs, directions),
  reset: (faults) => faults.resetAll(),
  refuse: (faults) => faults.refuse(),
  heal: (faults) => faults.heal(),
};

/** Listens on a port, forwards connections to the target and applies the active faults. */
export class Route {
  readonly #target: string;
  readonly #server: net.Server;
  readonly #faultsByClient = new Map<string, ClientFaults>();
  /** Faults for all clients; replayed for clients that connect later. */
  #commonFaults: control.FaultBody[] = [];

  constructor(target: string) {
    this.#target = target;
    this.#server = net.createServer({ allowHalfOpen: true }, (client) => this.#connect(client));
  }

  /** Listens on a free port and returns the address. */
  listen(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Applies a fault to the given clients, or to all current and future ones. */
  apply(fault: control.FaultBody): void {
    if (fault.clients === undefined) {
      this.#commonFaults = fault.kind === "heal" ? [] : [...this.#commonFaults, fault];
      for (const faults of this.#faultsByClient.values()) faults.apply(fault);
      return;
    }
    for (const client of fault.clients) this.#faultsOf(client).apply(fault);
  }

  #faultsOf(clientHost: string): ClientFaults {
    let faults = this.#faultsByClient.get(clientHost);
    if (faults === undefined) {
      faults = new ClientFaults();
      this.#faultsByClient.set(clientHost, faults);
      for (const fault of this.#commonFaults) faults.apply(fault);
    }
    return faults;
  }

  #connect(client: net.Socket): void {
    client.on("error", () => client.destroy());
    const faults = this.#faultsOf(client.remoteAddress ?? "");
    if (faults.isRefusing) {
      client.resetAndDestroy();
      return;
    }
    const { host, port } = names.splitAddress(this.#target);
    const target = net.connect({ host, port, allowHalfOpen: true });
    client.setNoDelay(true);
    target.setNoDelay(true);
    const connection = new ProxiedConnection({ client, target, states: faults.states });
    faults.connections.add(connection);
    target.on("error", () => connection.reset());
    const forget = () => {
      if (!client.destroyed || !target.destroyed) return;
      faults.connections.delete(connection);
    };
    client.once("close", () => target.destroyed || target.end());
    client.once("close", forget);
    target.once("close", forget);
  }
}
