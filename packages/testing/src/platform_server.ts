/**
 * Serves the stand-in platform over HTTP.
 *
 * @module
 */
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import * as schema from "@jackdawlink/schema";
import { Hono } from "hono";
import { PlatformStore } from "./platform_store.ts";

/** A running stand-in platform. */
export interface PlatformServer {
  readonly address: string;
  readonly url: string;
  readonly store: PlatformStore;
  close(): Promise<void>;
}

/** An application that is mounted in addition to the store. */
export type PlatformApp = Hono<{ Bindings: HttpBindings }>;

/** Listens on an address; port 0 selects a free port. */
export async function startPlatform(
  address: string,
  { apps = [] }: { apps?: readonly PlatformApp[] } = {},
): Promise<PlatformServer> {
  const store = new PlatformStore();
  const root = new Hono<{ Bindings: HttpBindings }>();
  for (const app of [store.app, ...apps]) root.route("/", app);
  const server = createAdaptorServer({ fetch: root.fetch });
  const { host, port } = schema.names.splitAddress(address);
  server.listen(port, host);
  await once(server, "listening");
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    url: `http://${host}:${bound.port}`,
    store,
    close: async () => {
      store.close();
      if ("closeAllConnections" in server) server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}
