/**
 * Finds free ports of the loopback interface. They lie below the ephemeral port range of the system,
 * so that no outgoing connection takes one before the program listens on it.
 *
 * @module
 */
import * as net from "node:net";
import { errors } from "@jackdawlink/schema";

/** No port of the range is free. */
export const NoFreePortError = errors.JackdawlinkError.subclass("NoFreePortError");

const DEFAULT_HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Offset between processes, so that concurrent test runs start at different ports. */
const PORTS_PER_PROCESS = 200;

let nextOffset = process.pid * PORTS_PER_PROCESS;

/** Finds free ports of a host. No port is returned twice until the whole range has been tried. */
export async function freePorts(
  count: number,
  { host = DEFAULT_HOST }: { host?: string } = {},
): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries === PORT_COUNT) throw new NoFreePortError(`No free port at ${host}`);
    const port = FIRST_PORT + nextOffset % PORT_COUNT;
    nextOffset += 1;
    if (await canListen(port, host)) ports.push(port);
  }
  return ports;
}

function canListen(port: number, host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
