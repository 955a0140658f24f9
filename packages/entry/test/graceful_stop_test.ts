import * as testing from "@jackdawlink/testing";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";

const SEED = 13;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE = "sessions";
const TEAMS = { boards: { weight: 2 }, visitors: { weight: 1, maxRunningRequests: 3 } };
const LIMITS = { boards: 64, visitors: 3 };
/** Runs that a stop would cut if it did not wait for them. */
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

  /** Callers may be told that a request was not run; nothing may be cut or left unknown. */
  async function expectNothingCut(traffic: testing.traffic.Traffic): Promise<void> {
    const results = await traffic.stop();
    const witness = await system.witness();
    expect(witness.violations(results, { maxRunningByTeam: LIMITS })).toEqual([]);
    const cut = results.filter(({ answer }) => !["answered", "not-run"].includes(answer.outcome));
    expect(cut).toEqual([]);
  }

  it("cut nothing while all nine entries are replaced one after another", async () => {
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
    await expectNothingCut(traffic);
  });

  it("give a leaving backend server nothing new, and cut none of its requests", async () => {
    const traffic = startTraffic();
    const leaving = system.backendServers.get(`${SERVICE}-1`)!;
    await testing.waitFor.waitFor(
      "answers before the drain",
      () => traffic.count("answered") >= ANSWERS_BETWEEN_STOPS,
    );
    const { code, output } = await system.command(["drain", leaving.name, "--wait"]);
    expect(code, output).toBe(0);
    await testing.waitFor.waitFor(
      "an idle backend server",
      async () => (await leaving.record()).running === 0,
    );
    const runsWhenIdle = (await leaving.record()).runs.length;
    const sinceMs = Date.now();
    await testing.waitFor.waitFor(
      "answers from the others",
      () => traffic.count("answered", { sinceMs }) >= ANSWERS_BETWEEN_STOPS,
    );
    expect((await leaving.record()).runs.length).toBe(runsWhenIdle);
    await expectNothingCut(traffic);
    await system.command(["undrain", leaving.name, "--wait"]);
  });
});
