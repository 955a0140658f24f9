/**
 * The program `stand-in-platform --address 127.0.0.1:PORT`. It serves the stand-in platform and prints
 * one JSON line once it listens. Port 0 selects a free port.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { PlatformFleet } from "./platform_fleet.ts";
import { type PlatformApp, startPlatform } from "./platform_server.ts";

/** Applications that are served in addition to the store. */
const APPS: readonly PlatformApp[] = [new PlatformFleet().app];

const { values } = parseArgs({
  options: { address: { type: "string", default: "127.0.0.1:0" } },
});

const platform = await startPlatform(values.address, { apps: APPS });
console.log(JSON.stringify({ ready: true, address: platform.address }));

for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.once(signal, () => void platform.close().then(() => process.exit(0)));
}
