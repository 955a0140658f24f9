/**
 * Starts and stops listening of an HTTP server, and returns errors as results.
 *
 * @module
 */
import type { AddressInfo } from "node:net";
import type { ServerType } from "@hono/node-server";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/** Binds one HTTP server to one address. */
export class HttpListener {
  readonly #server: ServerType;

  constructor(server: ServerType) {
    this.#server = server;
  }

  /** Starts to listen and returns the bound address; port 0 selects a free port. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    return new ResultAsync(this.#listen(address));
  }

  /** Closes all connections and stops listening. */
  close(): void {
    if ("closeAllConnections" in this.#server) {
      this.#server.closeAllConnections();
    }
    this.#server.close();
  }

  #listen(address: string): Promise<Result<string, schema.errors.JackdawlinkError>> {
    const { host, port } = schema.names.splitAddress(address);
    return new Promise((resolve) => {
      const fail = (cause: Error) =>
        resolve(
          err(new adapters.peerListener.ListenError(`Cannot listen on ${address}`, { cause })),
        );
      this.#server.once("error", fail);
      this.#server.listen(port, host, () => {
        this.#server.off("error", fail);
        const bound = this.#server.address() as AddressInfo;
        resolve(ok(`${host}:${bound.port}`));
      });
    });
  }
}
