/**
 * Starts a small system, publishes a configuration, sends requests and prints the results. Exits
 * with 0 if every step had the expected result, and with 1 otherwise.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";

type TestSystem = testing.testSystem.TestSystem;

const AVAILABILITY_ZONES = ["eu-west-a", "eu-west-b", "eu-west-c"];
const SERVICES = ["modules", "booking", "packs", "certificates", "sessions"];
const TEAMS: Readonly<Record<string, { weight: number; maxRunningRequests?: number }>> = {
  "east-boards": { weight: 3 },
  "west-boards": { weight: 1 },
  facilitators: { weight: 2, maxRunningRequests: 4 },
};
const TEAM_NAMES = Object.keys(TEAMS);
const ENTRY_COUNT = 9;
const BACKEND_SERVERS_PER_SERVICE = 2;
const SLOTS_PER_SERVICE = BACKEND_SERVERS_PER_SERVICE * 8;
const REQUEST_COUNT = 900;
const CONCURRENT_REQUESTS = 45;
const RUN_MS = 20;
/**
 * Concurrent requests of each team; more than the pool has slots, so that every team has a backlog.
 */
const FULL_POOL_REQUESTS_PER_TEAM = 30;
const FULL_POOL_WARM_UP_MS = 1_500;
const FULL_POOL_MS = 4_000;
const WITHDRAWN_TEAM = "west-boards";

/** The number of requests by team and outcome. */
type OutcomeCounts = Map<string, Map<string, number>>;

/** The traffic to send, and when to stop. */
interface TrafficOptions {
  readonly entries: readonly testing.testSystem.EntryHandle[];
  readonly teams: readonly string[];
  readonly queues: readonly string[];
  readonly concurrentRequests: number;
  /** Whether to send no further request; `sentCount` is the number sent so far. */
  readonly shouldStop: (sentCount: number) => boolean;
  /** Whether to count the request that was just answered. */
  readonly shouldCount: () => boolean;
}

const caller = new testing.caller.Caller();

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Runs `concurrentRequests` senders, each of which sends requests sequentially for one team.
 * Requests are spread round-robin over entries and queues.
 */
async function sendTraffic(options: TrafficOptions) {
  const { entries, teams, queues, concurrentRequests, shouldStop, shouldCount } = options;
  const counts: OutcomeCounts = new Map(teams.map((team) => [team, new Map()]));
  let lastRequestId = "";
  let sentCount = 0;
  async function sendUntilStopped(senderIndex: number): Promise<void> {
    const team = teams[senderIndex % teams.length]!;
    while (!shouldStop(sentCount)) {
      const index = sentCount;
      sentCount += 1;
      const answer = await caller.send({
        entryUrl: entries[index % entries.length]!.callerUrl,
        queue: queues[index % queues.length]!,
        path: `/work?runMs=${RUN_MS}`,
        key: testing.exampleConfig.exampleSecret(team),
      });
      if (!shouldCount()) continue;
      const byOutcome = counts.get(team)!;
      byOutcome.set(answer.outcome, (byOutcome.get(answer.outcome) ?? 0) + 1);
      lastRequestId = answer.requestId ?? lastRequestId;
    }
  }
  await Promise.all(
    Array.from({ length: concurrentRequests }, (_, senderIndex) => sendUntilStopped(senderIndex)),
  );
  return { counts, lastRequestId };
}

function countAnswered(counts: OutcomeCounts): number {
  return [...counts.values()].reduce((sum, each) => sum + (each.get("answered") ?? 0), 0);
}

function printCounts(counts: OutcomeCounts): void {
  for (const [team, byOutcome] of counts) {
    const parts = [...byOutcome].map(([outcome, count]) => `${count} ${outcome}`);
    print(`  ${team}: ${parts.join(", ")}`);
  }
}

/** Starts the processes and publishes the example configuration. */
async function publish(system: TestSystem): Promise<boolean> {
  print(`Starting a stand-in platform and ${ENTRY_COUNT} entries`);
  await system.start();
  for (const availabilityZone of AVAILABILITY_ZONES) {
    const entries = system.entries.filter((entry) => entry.availabilityZone === availabilityZone);
    print(`  ${availabilityZone}: ${entries.map(({ memberId }) => memberId).join(", ")}`);
  }
  const config = await system.startBackendServers(
    testing.exampleConfig.exampleConfig({
      availabilityZones: AVAILABILITY_ZONES,
      services: SERVICES,
      backendServersPerService: BACKEND_SERVERS_PER_SERVICE,
      teams: TEAMS,
    }),
  );
  print("Configuration: jackdawlink apply config.toml --wait");
  const startMs = performance.now();
  const { code, output } = await system.apply(config);
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  if (code !== 0) print(output);
  const lines = output.split("\n");
  const objects = lines.filter((line) => line.startsWith("+ "));
  print(`  ${objects.length} objects, ${countWarnings(lines)}`);
  print(`  ${lines.at(-1)}, after ${seconds} s`);
  return code === 0;
}

/** Formats the number of warnings for each promise in the output of `apply`. */
function countWarnings(lines: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const line of lines) {
    const promise = /^warning: .*\(([a-z-]+): [^)]*\)$/.exec(line)?.[1];
    if (promise !== undefined) counts.set(promise, (counts.get(promise) ?? 0) + 1);
  }
  const parts = [...counts].map(([promise, count]) => `${count} ${promise}`);
  return parts.length === 0 ? "no warnings" : `warnings: ${parts.join(", ")}`;
}

/** Sends a fixed number of requests, and runs `explain` for the last one. */
async function sendRequests(system: TestSystem): Promise<boolean> {
  print(`Traffic: ${REQUEST_COUNT} requests by ${TEAM_NAMES.length} teams`);
  const { counts, lastRequestId } = await sendTraffic({
    entries: system.entries,
    teams: TEAM_NAMES,
    queues: SERVICES,
    concurrentRequests: CONCURRENT_REQUESTS,
    shouldStop: (sentCount) => sentCount >= REQUEST_COUNT,
    shouldCount: () => true,
  });
  printCounts(counts);
  print(`Decisions about one request: jackdawlink explain ${lastRequestId}`);
  const { code, output } = await system.command(["explain", lastRequestId]);
  for (const line of output.split("\n")) print(`  ${line}`);
  return countAnswered(counts) === REQUEST_COUNT && code === 0;
}

/** Keeps all slots of one pool busy and prints the part of them that each team gets. */
async function saturatePool(system: TestSystem): Promise<boolean> {
  const [queue = ""] = SERVICES;
  print(`A full pool: ${queue}, ${SLOTS_PER_SERVICE} slots, each team asks for more`);
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  const { counts } = await sendTraffic({
    entries: system.entries,
    teams: TEAM_NAMES,
    queues: [queue],
    concurrentRequests: FULL_POOL_REQUESTS_PER_TEAM * TEAM_NAMES.length,
    shouldStop: () => elapsedMs() >= FULL_POOL_MS,
    shouldCount: () => elapsedMs() >= FULL_POOL_WARM_UP_MS,
  });
  const total = countAnswered(counts);
  for (const [team, byOutcome] of counts) {
    const { weight, maxRunningRequests } = TEAMS[team]!;
    const part = (byOutcome.get("answered") ?? 0) / total;
    const limit = maxRunningRequests === undefined ? "" : `, at most ${maxRunningRequests} running`;
    const slots = (part * SLOTS_PER_SERVICE).toFixed(1);
    print(`  ${team}: weight ${weight}${limit}: ${(part * 100).toFixed(1)}%, ${slots} slots`);
  }
  return total > 0;
}

/** Withdraws the key of one team and checks that every entry refuses it. */
async function withdrawKey(system: TestSystem): Promise<boolean> {
  print(`A withdrawn key: jackdawlink key withdraw ${WITHDRAWN_TEAM} --wait`);
  const withdrawn = await system.command(["key", "withdraw", WITHDRAWN_TEAM, "--wait"]);
  print(`  ${withdrawn.output.split("\n").at(-1)}`);
  const answers = await Promise.all(system.entries.map(({ callerUrl }) =>
    caller.send({
      entryUrl: callerUrl,
      queue: SERVICES[0]!,
      path: "/work",
      key: testing.exampleConfig.exampleSecret(WITHDRAWN_TEAM),
    })
  ));
  const refused = answers.filter(({ status, outcome }) => status === 401 && outcome === "not-run");
  print(`  refused with status 401, not-run, by ${refused.length} of ${answers.length} entries`);
  return withdrawn.code === 0 && refused.length === answers.length;
}

/** Kills one entry and checks that the others answer all requests. */
async function killEntry(system: TestSystem): Promise<boolean> {
  const killed = system.entries.at(-1)!;
  const teams = TEAM_NAMES.filter((team) => team !== WITHDRAWN_TEAM);
  print(`A killed entry: ${killed.memberId}; ${REQUEST_COUNT} requests to the others`);
  await killed.program.kill();
  const { counts } = await sendTraffic({
    entries: system.entries.filter((entry) => entry !== killed),
    teams,
    queues: SERVICES,
    concurrentRequests: CONCURRENT_REQUESTS,
    shouldStop: (sentCount) => sentCount >= REQUEST_COUNT,
    shouldCount: () => true,
  });
  printCounts(counts);
  return countAnswered(counts) === REQUEST_COUNT;
}

/** Runs the steps in order, and stops at the first unexpected result. */
async function run(system: TestSystem): Promise<boolean> {
  for (const step of [publish, sendRequests, saturatePool, withdrawKey, killEntry]) {
    const isAsExpected = await step(system);
    if (isAsExpected) continue;
    print("  not as expected");
    return false;
  }
  return true;
}

const system = new testing.testSystem.TestSystem({
  availabilityZones: AVAILABILITY_ZONES,
  entryCount: ENTRY_COUNT,
});
let isAsExpected = false;
try {
  isAsExpected = await run(system);
} finally {
  await caller.close();
  await system.stop();
}
process.exit(isAsExpected ? 0 : 1);
