/**
 * Systems as experiments start them, and the URLs and headers of their requests.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as fixedSplit from "./baselines/fixed_split.ts";

/** A configuration was not taken. */
export const ExperimentSetupError = schema.errors.JackdawlinkError.subclass("ExperimentSetupError");

export const AVAILABILITY_ZONES = ["eu-west-a", "eu-west-b", "eu-west-c"];
export const ENTRY_COUNT = 9;

/** Starts a system, runs something with it, and ends it whatever happens. */
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

/** Publishes a configuration and waits until it is in force on all entries. */
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

/** The URL of a queue at each of the entries. */
export function queueUrls(
  entries: readonly testing.testSystem.EntryHandle[],
  { queue, path = "/work" }: { queue: string; path?: string },
): string[] {
  return entries.map(({ callerUrl }) =>
    `${callerUrl}${schema.http.QUEUE_PATH_PREFIX}${queue}${path}`
  );
}

/** The header that presents a team's key. */
export function authorizationHeader(team: string): Record<string, string> {
  return { authorization: `Bearer ${testing.exampleConfig.exampleSecret(team)}` };
}

/** What the backend servers of a service ran, in times since a moment of the wall clock. */
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
