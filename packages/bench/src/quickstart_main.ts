/**
 * Starts a small system, publishes a configuration, sends requests and prints what happened.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";

const AVAILABILITY_ZONES = ["eu-west-a", "eu-west-b", "eu-west-c"];
const SERVICES = ["modules", "booking", "packs", "certificates", "sessions"];
const TEAMS = {
  "east-boards": { weight: 3 },
  "west-boards": { weight: 1 },
  facilitators: { weight: 2, maxRunningRequests: 4 },
};
const ENTRY_COUNT = 9;
const REQUEST_COUNT = 1_500;
const CONCURRENT_REQUESTS = 60;
const RUN_MS = 20;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Sends the requests of the quickstart and counts the outcomes by team. */
async function sendTraffic(system: testing.testSystem.TestSystem) {
  const caller = new testing.caller.Caller();
  const teams = Object.keys(TEAMS);
  const counts = new Map<string, Map<string, number>>();
  let lastRequestId = "";
  let next = 0;
  async function sendUntilDone(): Promise<void> {
    while (next < REQUEST_COUNT) {
      const index = next;
      next += 1;
      const team = teams[index % teams.length]!;
      const answer = await caller.send({
        entryUrl: system.entries[index % system.entries.length]!.callerUrl,
        queue: SERVICES[index % SERVICES.length]!,
        path: `/work?runMs=${RUN_MS}`,
        key: testing.exampleConfig.exampleSecret(team),
      });
      const byOutcome = counts.get(team) ?? new Map<string, number>();
      byOutcome.set(answer.outcome, (byOutcome.get(answer.outcome) ?? 0) + 1);
      counts.set(team, byOutcome);
      lastRequestId = answer.requestId ?? lastRequestId;
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, sendUntilDone));
  await caller.close();
  return { counts, lastRequestId };
}

async function run(system: testing.testSystem.TestSystem): Promise<number> {
  print(
    `Starting a stand-in platform and ${ENTRY_COUNT} entries in ${AVAILABILITY_ZONES.length} zones.`,
  );
  await system.start();
  const config = await system.startBackendServers(
    testing.exampleConfig.exampleConfig({
      availabilityZones: AVAILABILITY_ZONES,
      services: SERVICES,
      backendServersPerService: 2,
      teams: TEAMS,
    }),
  );
  const applied = await system.apply(config);
  print(applied.output);
  if (applied.code !== 0) return 1;
  const { counts, lastRequestId } = await sendTraffic(system);
  for (const [team, byOutcome] of counts) {
    const parts = [...byOutcome].map(([outcome, count]) => `${count} ${outcome}`);
    print(`Team ${team}: ${parts.join(", ")}`);
  }
  print(`What happened to request ${lastRequestId}:`);
  print((await system.command(["explain", lastRequestId])).output);
  const withdrawn = await system.command(["key", "withdraw", "west-boards", "--wait"]);
  print(withdrawn.output);
  const refused = await refusalOfWithdrawnKey(system);
  print(`A request with the withdrawn key: status ${refused.status}, ${refused.outcome}`);
  const served = [...counts.values()].reduce((sum, each) => sum + (each.get("answered") ?? 0), 0);
  return served === REQUEST_COUNT && refused.status === 401 ? 0 : 1;
}

async function refusalOfWithdrawnKey(system: testing.testSystem.TestSystem) {
  const caller = new testing.caller.Caller();
  const refused = await caller.send({
    entryUrl: system.entries[0]!.callerUrl,
    queue: "modules",
    path: "/work",
    key: testing.exampleConfig.exampleSecret("west-boards"),
  });
  await caller.close();
  return refused;
}

const system = new testing.testSystem.TestSystem({
  availabilityZones: AVAILABILITY_ZONES,
  entryCount: ENTRY_COUNT,
});
let exitCode = 1;
try {
  exitCode = await run(system);
} finally {
  await system.stop();
}
process.exit(exitCode);
