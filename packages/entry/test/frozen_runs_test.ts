import * as testing from "@jackdawlink/testing";
import * as schema from "@jackdawlink/schema";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

const SEED = 11;
const SERVICE = "packs";
const TEAM = "facilitators";
const LIMIT = 2;
/** Long enough for runs to continue after the entry that started them has been fenced. */
const RUN_MS = 9_000;
const MAX_RUN_MS = 10_000;
const CALLER_DEADLINE_MS = 60_000;

describe("long runs of a frozen entry", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: ["zone-a", "zone-b", "zone-c"],
    entryCount: 5,
    seed: SEED,
  });
  const caller = new testing.caller.Caller();

  beforeAll(async () => {
    await system.start();
    await system.publishExample({
      availabilityZones: ["zone-a"],
      services: [SERVICE],
      backendServersPerService: 1,
      teams: { [TEAM]: { weight: 1, maxRunningRequests: LIMIT } },
    }, (config) => ({
      ...config,
      services: { [SERVICE]: { pool: SERVICE, maxRunMs: MAX_RUN_MS } },
      queues: { [SERVICE]: { service: SERVICE, maxWaitMs: CALLER_DEADLINE_MS } },
    }));
  });

  afterAll(async () => {
    await caller.close();
    await system.stop();
  });

  function send(entryIndex: number, marker: string): Promise<testing.caller.CallerAnswer> {
    return caller.send({
      entryUrl: system.entries[entryIndex]!.callerUrl,
      queue: SERVICE,
      path: `/work?runMs=${RUN_MS}&marker=${marker}`,
      key: testing.exampleConfig.exampleSecret(TEAM),
      method: "POST",
      headers: { [schema.http.DEADLINE_HEADER]: String(CALLER_DEADLINE_MS) },
    });
  }

  it("count towards the team's limit until they end, even after the entry is fenced", async () => {
    const [frozen, observer] = system.entries;
    const early = [send(0, "early-1"), send(0, "early-2")];
    await testing.waitFor.waitFor(
      "two running requests",
      async () => (await system.witness()).maxRunningOf(TEAM) === LIMIT,
    );
    frozen!.program.signal("SIGSTOP");
    const late = [send(1, "late-1"), send(2, "late-2"), send(3, "late-3")];
    await testing.waitFor.waitFor("fencing of the frozen entry", async () => {
      const { members } = await system.statusOf(observer!);
      return members.every(({ memberId }) => memberId !== frozen!.memberId);
    });
    const answers = await Promise.all(late);
    frozen!.program.signal("SIGCONT");
    expect(answers.map(({ outcome }) => outcome)).toEqual(["answered", "answered", "answered"]);
    await Promise.all(early);
    expect((await system.witness()).maxRunningOf(TEAM)).toBe(LIMIT);
  });
});
