/**
 * Helpers that start a test system for an experiment and build the URLs and headers of its
 * requests.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as fixedSplit from "./baselines/fixed_split.ts";

/** The `apply` command rejected the configuration of an experiment. */
export const ExperimentSetupError = schema.errors.JackdawlinkError.subclass("ExperimentSetupError");

export const AVAILABILITY_ZONES = ["eu-west-a", "eu-west-b", "eu-west-c"];
export const ENTRY_COUNT = 9;

/** Starts a system, calls `run` with it, and stops the system even if `run` fails. */
export async function withTestSystem<TValue>(
  options: Partial<testing.testSystem.TestSystemOptions>,
  run: (system: testing.testSystem.TestSystem) => Promise<TValue>,
): Promise<TValue> {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: ENTRY_COUNT,
    ...options,
  });
  try {
    await system.start();
    return await run(system);
  } finally {
    await system.stop();
  }
}

/** Publishes a configuration and waits until all entries report the same revision. */
export async function applyToAllEntries(
  system: testing.testSystem.TestSystem,
  config: schema.config.ConfigInput,
): Promise<void> {
  const applied = await system.apply(config);
  if (applied.code !== 0) throw new ExperimentSetupError(`Not applied: ${applied.output}`);
  await testing.waitFor.waitFor("one revision on all entries", async () => {
    const statuses = await Promise.all(system.entries.map((entry) => system.statusOf(entry)));
    return new Set(statuses.map(({ revision }) => revision)).size === 1;
  });
}

/** Returns the URL of a queue on each of the entries. */
export function queueUrls(
  entries: readonly testing.testSystem.EntryHandle[],
  { queue, path = "/work" }: { queue: string; path?: string },
): string[] {
  return entries.map(({ callerUrl }) =>
    `${callerUrl}${schema.http.QUEUE_PATH_PREFIX}${queue}${path}`
  );
}

/** Returns the authorization header with a team's example key. */
export function authorizationHeader(team: string): Record<string, string> {
  return { authorization: `Bearer ${testing.exampleConfig.exampleSecret(team)}` };
}

/**
 * Reads the runs that the backend servers of a service recorded. Times are relative to
 * `sinceWallMs`; a run that is still in progress ends now.
 */
export async function readSlotRuns(
  system: testing.testSystem.TestSystem,
  { service, sinceWallMs }: { service: string; sinceWallMs: number },
): Promise<fixedSplit.SlotRun[]> {
  const clients = [...system.backendServers.values()].filter(({ name }) =>
    name.startsWith(`${service}-`)
  );
  const records = await Promise.all(clients.map((client) => client.record()));
  return records.flatMap(({ runs }) => runs).map(({ team, startedAtMs, endedAtMs }) => ({
    team,
    startedAtMs: startedAtMs - sinceWallMs,
    endedAtMs: (endedAtMs ?? Date.now()) - sinceWallMs,
  }));
}
