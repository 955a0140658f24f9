/**
 * One route of the fault proxy: a listening port in front of one target.
 *
 * @module
 */
import * as net from "node:net";
import { names } from "@jackdawlink/schema";
import type * as control from "./fault_proxy_control.ts";

/** What happens to the bytes of one direction. */
interface DirectionState {
  mode: "pass" | "cut" | "freeze";
  delayMs: number;
}

/** Bytes on their way, in order; null is the end of the stream. */
interface Held {
  readonly chunk: Buffer | null;
  readonly dueAtMs: number;
}

/** One direction of one connection. */
class Lane {
  readonly #state: DirectionState;
  readonly #to: net.Socket;
  readonly #held: Held[] = [];
  #timer: NodeJS.Timeout | undefined;
  lostBytes = false;

  constructor({ state, from, to }: { state: DirectionState; from: net.Socket; to: net.Socket }) {
    this.#state = state;
    this.#to = to;
    from.on("data", (chunk) => this.#accept(chunk));
    from.on("end", () => this.#accept(null));
  }

  #accept(chunk: Buffer | null): void {
    if (this.#state.mode === "cut") {
      this.lostBytes = true;
      return;
    }
    this.#held.push({ chunk, dueAtMs: performance.now() + this.#state.delayMs });
    this.flush();
  }

  /** Delivers what is due. */
  flush(): void {
    clearTimeout(this.#timer);
    if (this.#state.mode !== "pass") return;
    while (this.#held.length > 0) {
      const waitMs = this.#held[0]!.dueAtMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.flush(), waitMs);
        return;
      }
      this.#deliver(this.#held.shift()!.chunk);
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

/** A connection through the proxy. */
class ProxiedConnection {
  readonly #client: net.Socket;
  readonly #target: net.Socket;
  readonly #lanes: readonly Lane[];

  constructor(
    { client, target, states }: {
      client: net.Socket;
      target: net.Socket;
      states: Record<control.Direction, DirectionState>;
    },
  ) {
    this.#client = client;
    this.#target = target;
    this.#lanes = [
      new Lane({ state: states.toTarget, from: client, to: target }),
      new Lane({ state: states.toClient, from: target, to: client }),
    ];
  }

  heal(): void {
    if (this.#lanes.some((lane) => lane.lostBytes)) this.reset();
    for (const lane of this.#lanes) lane.flush();
  }

  reset(): void {
    for (const lane of this.#lanes) lane.stop();
    this.#client.resetAndDestroy();
    this.#target.resetAndDestroy();
  }
}

/** Listens in front of one target and applies the faults that are set. */
export class Route {
  readonly #target: string;
  readonly #server: net.Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #states: Record<control.Direction, DirectionState> = {
    toTarget: { mode: "pass", delayMs: 0 },
    toClient: { mode: "pass", delayMs: 0 },
  };
  #refusing = false;

  constructor(target: string) {
    this.#target = target;
    this.#server = net.createServer({ allowHalfOpen: true }, (client) => this.#connect(client));
  }

  /** Listens on a free port, or on the given one, and returns the address. */
  listen(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Applies a fault. */
  apply(fault: control.FaultBody): void {
    const handlers: Record<control.FaultBody["kind"], () => void> = {
      cut: () => this.#setMode("cut", fault.directions),
      freeze: () => this.#setMode("freeze", fault.directions),
      delay: () => this.#setDelay(fault.delayMs, fault.directions),
      reset: () => this.#resetAll(),
      refuse: () => this.#refuse(),
      heal: () => this.#heal(),
    };
    handlers[fault.kind]();
  }

  #connect(client: net.Socket): void {
    client.on("error", () => client.destroy());
    if (this.#refusing) {
      client.resetAndDestroy();
      return;
    }
    const { host, port } = names.splitAddress(this.#target);
    const target = net.connect({ host, port, allowHalfOpen: true });
    client.setNoDelay(true);
    target.setNoDelay(true);
    const connection = new ProxiedConnection({ client, target, states: this.#states });
    this.#connections.add(connection);
    target.on("error", () => connection.reset());
    const forget = () => {
      if (!client.destroyed || !target.destroyed) return;
      this.#connections.delete(connection);
    };
    client.once("close", () => target.destroyed || target.end());
    client.once("close", forget);
    target.once("close", forget);
  }

  #setMode(mode: DirectionState["mode"], directions: readonly control.Direction[]): void {
    for (const direction of directions) this.#states[direction].mode = mode;
  }

  #setDelay(delayMs: number, directions: readonly control.Direction[]): void {
    for (const direction of directions) this.#states[direction].delayMs = delayMs;
  }

  #resetAll(): void {
    for (const connection of this.#connections) connection.reset();
  }

  #refuse(): void {
    this.#refusing = true;
    this.#resetAll();
  }

  #heal(): void {
    this.#refusing = false;
    this.#setMode("pass", ["toTarget", "toClient"]);
    this.#setDelay(0, ["toTarget", "toClient"]);
    for (const connection of this.#connections) connection.heal();
  }
}
