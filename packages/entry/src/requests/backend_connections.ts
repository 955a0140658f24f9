/**
 * Connections to backend servers, each with at most one request in flight.
 *
 * @module
 */
import * as undici from "undici";
import type * as requestIndex from "./request_index.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 4_000;

/** A connection to a backend server, used by one attempt at a time. */
export interface BackendConnection {
  readonly backendServer: string;
  readonly address: string;
  readonly client: undici.Client;
}

/** A pool of idle connections to backend servers. */
export class BackendConnections {
  readonly #idle = new Map<string, BackendConnection[]>();

  /** Returns an idle connection, or a new one that connects when its first request is sent. */
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

  /** Returns a connection to the pool after a complete answer; closes it if the pool is full. */
  release(connection: BackendConnection, { maxIdle }: { maxIdle: number }): void {
    const idle = this.#idle.get(connection.backendServer) ?? [];
    this.#idle.set(connection.backendServer, idle);
    if (idle.length < maxIdle) idle.push(connection);
    else void connection.client.close();
  }

  /** Destroys a connection that can't be reused, such as one without a complete answer. */
  destroy(connection: BackendConnection): void {
    connection.client.destroy().catch(() => undefined);
  }

  /** Closes the idle connections to a backend server, such as one that shuts down. */
  closeIdle(backendServer: string): void {
    for (const { client } of this.#idle.get(backendServer) ?? []) void client.close();
    this.#idle.delete(backendServer);
  }

  /** Closes the idle connections to all backend servers except the given ones. */
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
 * The number of idle connections that one entry may keep to a backend server. All entries together
 * stay within the backend server's connection limit even while all its slots are in use.
 */
export function maxIdleConnections(
  backendServer: requestIndex.NamedBackendServer,
  members: number,
): number {
  const spare = backendServer.connections - backendServer.slots;
  return Math.max(0, Math.floor(spare / Math.max(1, members)));
}
