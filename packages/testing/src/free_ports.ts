/**
 * Ports of the loopback interface that the system had free a moment ago.
 *
 * @module
 */
import * as net from "node:net";

const DEFAULT_HOST = "127.0.0.1";

/** Asks the system for free ports of a host; all are held at once, so that they differ from one another. */
export async function freePorts(
  count: number,
  { host = DEFAULT_HOST }: { host?: string } = {},
): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listenAnywhere(host)));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

/** One free port. */
export async function freePort(): Promise<number> {
  const [port] = await freePorts(1);
  return port!;
}

function listenAnywhere(host: string): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, host, () => resolve(server));
  });
}

function closeServer(server: net.Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
