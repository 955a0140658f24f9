/**
 * Measures the processor time and bytes of entry processes by number of requests served.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import * as processUsage from "./process_usage.ts";
import type { Slope } from "./slope.ts";

const REQUEST_COUNTS = [500, 1_500, 3_000, 4_500];
const ENTRY_COUNT = 3;
const CONCURRENT_REQUESTS = 24;
const MEAN_RUN_MS = 20;
const AVAILABILITY_ZONES = ["zone-1", "zone-2", "zone-3"];
const SERVICES = ["modules", "booking", "packs"];
const TEAMS = { "team-1": { weight: 1 }, "team-2": { weight: 1 }, "team-3": { weight: 2 } };
const WARM_UP_REQUESTS = 1_000;
const MS_PER_SECOND = 1_000;

/** Measures all entries while they serve each number of requests. */
export async function run(): Promise<readonly Slope[]> {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: ENTRY_COUNT,
    entrySettings: { log: { level: "info" } },
  });
  try {
    await system.start();
    const config = testing.exampleConfig.exampleConfig({
      availabilityZones: AVAILABILITY_ZONES,
      services: SERVICES,
      backendServersPerService: 3,
      teams: TEAMS,
    });
    await system.apply(await system.startBackendServers(config, { meanRunMs: MEAN_RUN_MS }));
    await sendRequests(system, WARM_UP_REQUESTS);
    return await measureCounts(system);
  } finally {
    await system.stop();
  }
}

async function measureCounts(
  system: testing.testSystem.TestSystem,
): Promise<readonly Slope[]> {
  const cpu = [];
  const bytes = [];
  for (const count of REQUEST_COUNTS) {
    const programs = system.entries.map(({ program }) => program);
    const rates = await processUsage.measureRates(programs, () => sendRequests(system, count));
    const cpuMs = rates.cpuPercent / 100 * rates.seconds * MS_PER_SECOND * ENTRY_COUNT;
    cpu.push({ x: count, y: cpuMs });
    bytes.push({ x: count, y: rates.bytesPerSecond * rates.seconds * ENTRY_COUNT });
  }
  const size = `requests, ${ENTRY_COUNT} entries`;
  return [
    { figure: "processor time of all entries, ms", size, points: cpu, plannedSize: 1_000 },
    { figure: "bytes of all entries, bytes", size, points: bytes, plannedSize: 1_000 },
  ];
}

async function sendRequests(
  system: testing.testSystem.TestSystem,
  count: number,
): Promise<void> {
  const caller = new testing.caller.Caller();
  const teams = Object.keys(TEAMS);
  let next = 0;
  async function sendUntilDone(): Promise<void> {
    while (next < count) {
      const index = next;
      next += 1;
      await caller.send({
        entryUrl: system.entries[index % system.entries.length]!.callerUrl,
        queue: SERVICES[index % SERVICES.length]!,
        path: "/work",
        key: testing.exampleConfig.exampleSecret(teams[index % teams.length]!),
      });
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, sendUntilDone));
  await caller.close();
}
