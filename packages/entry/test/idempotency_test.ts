import * as testing from "@jackdawlink/testing";
import * as schema from "@jackdawlink/schema";
import * as uuid from "uuid";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

type TestSystem = testing.testSystem.TestSystem;

const SEED = 19;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE = "renewals";
const TEAM = "billing";
const RUN_MS = 150;
const DEADLINE_MS = 4_000;
const KEY_COUNT = 60;
/** The number of submissions of each key, each to a different entry. */
const SUBMISSIONS_PER_KEY = 4;
const FENCE_LIMIT_MS = 30_000;

interface ClaimCase {
  readonly name: string;
  readonly injectFault: (system: TestSystem) => Promise<void>;
  readonly removeFault: (system: TestSystem) => Promise<void>;
}

const doNothing = () => Promise.resolve();

const CASES: readonly ClaimCase[] = [
  { name: "nothing fails", injectFault: doNothing, removeFault: doNothing },
  {
    name: "the store loses answers after applying the requests",
    injectFault: (system) =>
      system.setStoreFaults({ seed: SEED, rules: [{ loseAnswerProbability: 0.3 }] }),
    removeFault: (system) => system.setStoreFaults(),
  },
  {
    name: "two entries are killed and restarted",
    injectFault: async (system) => {
      const victims = system.entries.slice(0, 2);
      await Promise.all(victims.map((entry) => entry.program.kill()));
    },
    removeFault: async (system) => {
      const victims = system.entries.slice(0, 2);
      await Promise.all(victims.map((entry) => system.startEntry(entry)));
    },
  },
  {
    name: "an entry is frozen until it is fenced",
    injectFault: async (system) => {
      const [frozen, observer] = system.entries;
      frozen!.program.signal("SIGSTOP");
      await testing.waitFor.waitFor("fencing of the frozen entry", async () => {
        const { members } = await system.statusOf(observer!);
        return members.every(({ memberId }) => memberId !== frozen!.memberId);
      }, { limitMs: FENCE_LIMIT_MS });
    },
    removeFault: (system) => {
      system.entries[0]!.program.signal("SIGCONT");
      return Promise.resolve();
    },
  },
  {
    name: "an entry is partitioned from its peers",
    injectFault: async (system) => {
      await system.cutLinks(system.entries.slice(0, 1), system.entries.slice(1));
      await system.cutLinks(system.entries.slice(1), system.entries.slice(0, 1));
    },
    removeFault: (system) => system.healNetwork(),
  },
];

describe("an idempotency key", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: 5,
    useFaultProxy: true,
    seed: SEED,
  });
  const caller = new testing.caller.Caller();

  beforeAll(async () => {
    await system.start();
    await system.publishExample({
      availabilityZones: AVAILABILITY_ZONES,
      services: [SERVICE],
      backendServersPerService: 3,
      teams: { [TEAM]: { weight: 1 } },
    });
  });

  afterAll(async () => {
    await caller.close();
    await system.stop();
  });

  function submit(key: string, entryIndex: number): Promise<testing.caller.CallerAnswer> {
    return caller.send({
      entryUrl: system.entries[entryIndex % system.entries.length]!.callerUrl,
      queue: SERVICE,
      path: `/renew?runMs=${RUN_MS}&marker=${key}`,
      key: testing.exampleConfig.exampleSecret(TEAM),
      method: "POST",
      body: key,
      headers: {
        [schema.http.IDEMPOTENCY_KEY_HEADER]: key,
        [schema.http.REPEATABLE_HEADER]: "no",
        [schema.http.DEADLINE_HEADER]: String(DEADLINE_MS),
      },
    });
  }

  /** Submits a key to several entries, one after the other. */
  async function submitRepeatedly(key: string, index: number) {
    const answers: testing.caller.CallerAnswer[] = [];
    for (let submission = 0; submission < SUBMISSIONS_PER_KEY; submission += 1) {
      answers.push(await submit(key, index + submission));
    }
    return { key, answers };
  }

  it.each(CASES)("runs at most once while $name", async ({ injectFault, removeFault }) => {
    const keys = Array.from({ length: KEY_COUNT }, () => uuid.v7());
    const running = keys.map(submitRepeatedly);
    await injectFault(system);
    await removeFault(system);
    const submitted = await Promise.all(running);
    await system.waitUntilFresh();
    const after = await Promise.all(keys.map((key, index) => submit(key, index + 1)));
    const witness = await system.witness();
    for (const [index, { key, answers }] of submitted.entries()) {
      const runs = witness.runsOf(key).length;
      const isAnswered = answers.some(({ status }) => status === 200);
      expect(runs, key).toBeLessThanOrEqual(1);
      expect(isAnswered && runs === 0, key).toBe(false);
      // Once a key has run, no later submission may be answered with "not-run".
      expect(runs === 1 && after[index]!.outcome === "not-run", key).toBe(false);
    }
  });
});
