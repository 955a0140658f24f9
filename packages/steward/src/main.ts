/**
 * `jackdawlink-steward --settings FILE`: manages VMs, maintenance waves and jobs. Prints one JSON
 * line once it is listening. On SIGTERM or SIGINT it finishes its round and leaves the list of
 * stewards.
 *
 * @module
 */
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import * as timers from "node:timers/promises";
import { parseArgs } from "node:util";
import { createAdaptorServer } from "@hono/node-server";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import type { Hono } from "hono";
import * as uuid from "uuid";
import { callerApp } from "./caller_http.ts";
import { countCalls, Metrics } from "./metrics.ts";
import { operatorApp } from "./operator_http.ts";
import { Steward } from "./steward.ts";

adapters.runtimeFlags.reduceMemoryUse();
const { values } = parseArgs({ options: { settings: { type: "string" } } });
const read = adapters.settings.readSettings(
  values.settings ?? "",
  schema.settings.stewardSettingsSchema,
);
if (read.isErr()) {
  console.error(read.error.message);
  process.exit(2);
}
await run(read.value);

/** Runs rounds until a signal stops the process. */
async function run(settings: schema.settings.StewardSettings): Promise<void> {
  const clock = new adapters.clock.SystemClock();
  const logs = new adapters.log.LogFactory(settings.log);
  const metrics = new Metrics();
  const platformStore = new adapters.platformStore.PlatformStore({
    settings: settings.store,
    clock,
    log: logs.part("store"),
    clientId: settings.stewardId,
  });
  const store = countCalls(platformStore, metrics);
  const headRepository = new adapters.headRepository.HeadRepository({
    store,
    clock,
    log: logs.part("head"),
  });
  const configs = new adapters.configRepository.ConfigRepository({ store, headRepository });
  const platform = new adapters.platformClient.PlatformClient(settings.platformUrl);
  const steward = new Steward({
    ...settings,
    incarnation: uuid.v7(),
    store,
    platform,
    clock,
    log: logs.part("steward"),
    configSource: {
      read: async () => (await configs.read()).map(({ config }) => config),
    },
  });
  let isStopping = false;
  const stopped = new AbortController();
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => {
      isStopping = true;
      stopped.abort();
    });
  }
  const callers = await serve(callerApp(steward), settings.callerAddress);
  const operators = await serve(
    operatorApp(steward, { metrics, isStopping: () => isStopping }),
    settings.operatorAddress,
  );
  console.log(JSON.stringify({
    ready: true,
    callerAddress: callers.address,
    operatorAddress: operators.address,
  }));
  while (!stopped.signal.aborted) {
    const endTimer = metrics.roundSeconds.startTimer();
    const round = await steward.runRound();
    endTimer();
    metrics.failedRounds.inc(Number(round.isErr()));
    await pause(settings.roundMs, stopped.signal);
  }
  await Promise.all([callers.close(), operators.close()]);
  await steward.stop();
  await platform.close();
  process.exit(0);
}

/** Listens on an address. `close` resolves once in-flight requests have ended. */
async function serve(
  app: Hono,
  listenAddress: string,
): Promise<{ address: string; close: () => Promise<void> }> {
  const { host, port } = schema.names.splitAddress(listenAddress);
  const server = createAdaptorServer({ fetch: app.fetch });
  server.listen(port, host);
  await once(server, "listening");
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    close: () => {
      const closed = once(server, "close").then(() => undefined);
      server.close();
      if ("closeIdleConnections" in server) {
        server.closeIdleConnections();
      }
      return closed;
    },
  };
}

/** Waits for a delay, or until the signal is aborted. */
function pause(delayMs: number, signal: AbortSignal): Promise<void> {
  return timers.setTimeout(delayMs, undefined, { signal }).catch(() => undefined);
}
