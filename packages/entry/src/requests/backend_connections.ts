/**
 * Connections to backend servers, each with one request in flight at most.
 *
 * @module
 */
import * as undici from "undici";
import type * as requestIndex from "./request_index.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 4_000;

/** One connection to a backend server; it belongs to one attempt at a time. */
export interface BackendConnection {
  readonly backendServer: string;
  readonly address: string;
  readonly client: undici.Client;
}

/** Idle connections by backend server. */
export class BackendConnections {
  readonly #idle = new Map<string, BackendConnection[]>();

  /** Takes an idle connection, or a new one that connects with its first request. */
  acquire(backendServer: requestIndex.NamedBackendServer): BackendConnection {
    const idle = this.#idle.get(backendServer.name)?.pop();
    if (idle !== undefined && idle.address === backendServer.address) return idle;
    idle?.client.destroy();
    return {
      backendServer: backendServer.name,
      address: backendServer.address,
      client: new undici.Client(`http://${backendServer.address}`, {
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      }),
    };
  }

  /** Gives back a connection after a whole answer; it is kept while there is room. */
  release(connection: BackendConnection, { maxIdle }: { maxIdle: number }): void {
    const idle = this.#idle.get(connection.backendServer) ?? [];
    this.#idle.set(connection.backendServer, idle);
    if (idle.length < maxIdle) idle.push(connection);
    else void connection.client.close();
  }

  /** Destroys a connection whose request has no whole answer. */
  destroy(connection: BackendConnection): void {
    connection.client.destroy().catch(() => undefined);
  }

  /** Closes the idle connections to a backend server that is leaving. */
  closeIdle(backendServer: string): void {
    for (const { client } of this.#idle.get(backendServer) ?? []) void client.close();
    this.#idle.delete(backendServer);
  }

  /** Closes the idle connections to backend servers that the configuration no longer names. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const backendServer of [...this.#idle.keys()]) {
      if (!backendServers.has(backendServer)) this.closeIdle(backendServer);
    }
  }

  /** Closes all idle connections. */
  closeAll(): void {
    for (const backendServer of [...this.#idle.keys()]) this.closeIdle(backendServer);
  }
}

/**
 * How many idle connections one entry keeps to a backend server, so that all entries together stay
 * within its connections even while all its slots are in use.
 */
export function maxIdleConnections(
  backendServer: requestIndex.NamedBackendServer,
  members: number,
): number {
  const spare = backendServer.connections - backendServer.slots;
  return Math.max(0, Math.floor(spare / Math.max(1, members)));
}
