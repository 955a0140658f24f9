import * as testing from "@jackdawlink/testing";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

type TestSystem = testing.testSystem.TestSystem;

const SEED = 17;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE = "payments";
const TEAM = "billing";
/** The default of the setting `freshForMs`, the staleness bound. */
const FRESH_FOR_MS = 2_500;
/** Allows for timing differences between the test process and the entries. */
const MARGIN_MS = 1_000;

interface KeyCase {
  readonly name: string;
  readonly injectFault: (system: TestSystem) => Promise<void>;
}

const CASES: readonly KeyCase[] = [
  { name: "nothing fails", injectFault: () => Promise.resolve() },
  {
    name: "the store is slow and loses answers",
    injectFault: (system) =>
      system.setStoreFaults({
        seed: SEED,
        rules: [{ delayMs: 200, loseAnswerProbability: 0.2 }],
      }),
  },
  {
    name: "two entries lose the store",
    injectFault: (system) => system.cutStore(system.entries.slice(0, 2)),
  },
  {
    name: "two entries lose the store and all peers",
    injectFault: async (system) => {
      const inside = system.entries.slice(0, 2);
      const outside = system.entries.slice(2);
      await system.cutStore(inside);
      await system.cutLinks(inside, outside);
      await system.cutLinks(outside, inside);
    },
  },
  {
    name: "two entries lose the store and all messages from the others",
    injectFault: async (system) => {
      await system.cutStore(system.entries.slice(0, 2));
      await system.cutLinks(system.entries.slice(2), system.entries.slice(0, 2));
    },
  },
  {
    name: "an entry is frozen",
    injectFault: (system) => {
      system.entries[0]!.program.signal("SIGSTOP");
      return Promise.resolve();
    },
  },
];

describe("a withdrawn key", () => {
  let system: TestSystem;
  let caller: testing.caller.Caller;

  beforeEach(async () => {
    caller = new testing.caller.Caller();
    system = new testing.testSystem.TestSystem({
      availabilityZones: AVAILABILITY_ZONES,
      entryCount: 5,
      useFaultProxy: true,
      seed: SEED,
    });
    await system.start();
    await system.publishExample({
      availabilityZones: AVAILABILITY_ZONES,
      services: [SERVICE],
      backendServersPerService: 1,
      teams: { [TEAM]: { weight: 1 } },
    });
  });

  afterEach(async () => {
    await caller.close();
    await system.stop();
  });

  function sendRequest(
    entry: testing.testSystem.EntryHandle,
  ): Promise<testing.caller.CallerAnswer> {
    return caller.send({
      entryUrl: entry.callerUrl,
      queue: SERVICE,
      path: "/work",
      key: testing.exampleConfig.exampleSecret(TEAM),
    });
  }

  it.each(CASES)("stops working at every entry while $name", async ({ injectFault }) => {
    const before = await Promise.all(system.entries.map(sendRequest));
    expect(before.map(({ outcome }) => outcome)).toEqual(system.entries.map(() => "answered"));
    await injectFault(system);
    const { code, output } = await system.command(["key", "withdraw", TEAM, "--wait"]);
    expect(code, output).toBe(0);
    // Every entry must refuse the key once the staleness bound has passed, whatever fails.
    await new Promise((resolve) => setTimeout(resolve, FRESH_FOR_MS + MARGIN_MS));
    const runsBefore = (await system.witness()).runCount;
    for (const entry of system.entries) entry.program.signal("SIGCONT");
    const after = await Promise.all(system.entries.map(sendRequest));
    expect(after.map(({ outcome }) => outcome)).toEqual(system.entries.map(() => "not-run"));
    expect((await system.witness()).runCount).toBe(runsBefore);
  });
});
