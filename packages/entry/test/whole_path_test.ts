import * as testing from "@jackdawlink/testing";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

const SEED = 4;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const TEAMS = {
  billing: { weight: 3 },
  reminders: { weight: 1 },
  // This limit is below the number of entries.
  catalogue: { weight: 1, maxRunningRequests: 4 },
};
const LIMITS = { billing: 64, reminders: 64, catalogue: 4 };
const REQUESTS = 600;

describe("nine entries without faults", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: 9,
    seed: SEED,
  });

  beforeAll(async () => {
    await system.start();
    await system.publishExample({
      availabilityZones: AVAILABILITY_ZONES,
      services: ["renewals"],
      backendServersPerService: 2,
      teams: TEAMS,
    });
  });

  afterAll(() => system.stop());

  it("answers all requests within slots and limits", async () => {
    const traffic = new testing.traffic.Traffic({
      entryUrls: system.entries.map(({ callerUrl }) => callerUrl),
      queues: ["renewals"],
      teams: testing.exampleConfig.exampleKeys(Object.keys(TEAMS)),
      loopsPerEntryAndTeam: 2,
      runMs: 10,
      seed: SEED,
    });
    traffic.start();
    await testing.waitFor.waitFor("enough answers", () => traffic.count("answered") >= REQUESTS);
    const requests = await traffic.stop();
    const witness = await system.witness();
    expect(witness.violations(requests, { maxRunningByTeam: LIMITS })).toEqual([]);
    expect(requests.filter(({ answer }) => answer.outcome !== "answered")).toEqual([]);
  });

  it("rejects a withdrawn key at every entry", async () => {
    const { code, output } = await system.command(["key", "withdraw", "reminders", "--wait"]);
    expect(code, output).toBe(0);
    const caller = new testing.caller.Caller();
    const key = testing.exampleConfig.exampleSecret("reminders");
    const answers = await Promise.all(
      system.entries.map(({ callerUrl }) =>
        caller.send({ entryUrl: callerUrl, queue: "renewals", path: "/work", key })
      ),
    );
    await caller.close();
    expect(answers.map(({ status, outcome }) => ({ status, outcome }))).toEqual(
      system.entries.map(() => ({ status: 401, outcome: "not-run" })),
    );
  });
});
