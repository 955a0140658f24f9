import * as testing from "@jackdawlink/testing";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";

const SEED = 13;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE = "sessions";
const TEAMS = { boards: { weight: 2 }, visitors: { weight: 1, maxRunningRequests: 3 } };
const LIMITS = { boards: 64, visitors: 3 };
/** Long enough for a stop to interrupt runs if it did not wait for them. */
const RUN_MS = 300;
const ANSWERS_BETWEEN_STOPS = 30;

describe("planned stops under load", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: 9,
    seed: SEED,
    entrySettings: { shutdownGraceMs: 1_000 },
  });
  let balancer: testing.balancer.Balancer;

  beforeAll(async () => {
    await system.start();
    await system.publishExample({
      availabilityZones: AVAILABILITY_ZONES,
      services: [SERVICE],
      backendServersPerService: 3,
      teams: TEAMS,
    });
    balancer = new testing.balancer.Balancer(system.entries);
  });

  afterEach(async () => {
    await Promise.all([...system.backendServers.values()].map((server) => server.reset()));
  });

  afterAll(async () => {
    balancer.stop();
    await system.stop();
  });

  function startTraffic(): testing.traffic.Traffic {
    const traffic = new testing.traffic.Traffic({
      entryUrls: system.entries.map(({ callerUrl }) => callerUrl),
      queues: [SERVICE],
      teams: testing.exampleConfig.exampleKeys(Object.keys(TEAMS)),
      loopsPerEntryAndTeam: 2,
      runMs: RUN_MS,
      deadlineMs: 20_000,
      seed: SEED,
      isReady: (entryUrl) => balancer.isReady(entryUrl),
    });
    traffic.start();
    return traffic;
  }

  /** Requests may be refused with not-run, but none may break or end with an unknown outcome. */
  async function expectNoneBroken(traffic: testing.traffic.Traffic): Promise<void> {
    const results = await traffic.stop();
    const witness = await system.witness();
    expect(witness.violations(results, { maxRunningByTeam: LIMITS })).toEqual([]);
    const broken = results.filter(({ answer }) =>
      !["answered", "not-run"].includes(answer.outcome)
    );
    expect(broken).toEqual([]);
  }

  it("break no request while all nine entries are replaced one after another", async () => {
    const traffic = startTraffic();
    for (const entry of system.entries) {
      const sinceMs = Date.now();
      await testing.waitFor.waitFor(
        "answers between stops",
        () => traffic.count("answered", { sinceMs }) >= ANSWERS_BETWEEN_STOPS,
      );
      expect(await entry.program.stop()).toBe(0);
      await system.startEntry(entry);
      await system.waitUntilFresh([entry]);
    }
    await expectNoneBroken(traffic);
  });

  it("send no new requests to a draining backend server and break no runs", async () => {
    const traffic = startTraffic();
    const drainingServer = system.backendServers.get(`${SERVICE}-1`)!;
    await testing.waitFor.waitFor(
      "answers before the drain",
      () => traffic.count("answered") >= ANSWERS_BETWEEN_STOPS,
    );
    const { code, output } = await system.command(["drain", drainingServer.name, "--wait"]);
    expect(code, output).toBe(0);
    await testing.waitFor.waitFor(
      "an idle backend server",
      async () => (await drainingServer.record()).running === 0,
    );
    const runsWhenIdle = (await drainingServer.record()).runs.length;
    const sinceMs = Date.now();
    await testing.waitFor.waitFor(
      "answers from the others",
      () => traffic.count("answered", { sinceMs }) >= ANSWERS_BETWEEN_STOPS,
    );
    expect((await drainingServer.record()).runs.length).toBe(runsWhenIdle);
    await expectNoneBroken(traffic);
    await system.command(["undrain", drainingServer.name, "--wait"]);
  });
});
