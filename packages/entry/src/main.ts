/**
 * `jackdawlink-entry --settings FILE`: runs one entry and prints one JSON line when it listens.
 * SIGTERM and SIGINT shut it down gracefully with exit code 0; failures end it with exit code 1.
 *
 * @module
 */
import { parseArgs } from "node:util";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import { Entry } from "./entry.ts";
import { RequestFrontend } from "./request_frontend.ts";

const EXIT_FAILURE = 1;

function fail(message: string): never {
  process.stderr.write(`jackdawlink-entry: ${message}\n`);
  process.exit(EXIT_FAILURE);
}

function settingsFile(): string {
  try {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    return values.settings ?? fail("--settings FILE is required");
  } catch (cause) {
    return fail((cause as Error).message);
  }
}

async function stop(entry: Entry): Promise<void> {
  await entry.stop();
  process.exit(0);
}

adapters.runtimeFlags.reduceMemoryUse();
process.on("uncaughtException", (error) => fail(`Unhandled error: ${error.stack}`));
process.on("unhandledRejection", (reason) => fail(`Unhandled rejection: ${String(reason)}`));

const settings = adapters.settings
  .readSettings(settingsFile(), schema.settings.entrySettingsSchema)
  .match((read) => read, (error) => fail(error.message));
const entry = new Entry({
  settings,
  createCallerFrontend: (context) => new RequestFrontend(context),
});
const started = await entry.start();
started.match(
  (addresses) => process.stdout.write(`${JSON.stringify({ ready: true, ...addresses })}\n`),
  (error) => fail(error.message),
);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.once(signal, () => void stop(entry));
}
