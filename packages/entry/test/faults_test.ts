import * as testing from "@jackdawlink/testing";
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";

type TestSystem = testing.testSystem.TestSystem;
type EntryHandle = testing.testSystem.EntryHandle;

const SEED = 7;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const TEAMS = {
  billing: { weight: 3 },
  catalogue: { weight: 1, maxRunningRequests: 4 },
};
const LIMITS = { billing: 64, catalogue: 4 };
const SERVICE = "renewals";
const RUN_MS = 40;
const DEADLINE_MS = 3_000;
/** Exceeds lease expiry, fencing, the freshness wait and the longest run together. */
const RECOVERY_LIMIT_MS = 60_000;
const FENCE_LIMIT_MS = 30_000;
/**
 * How long most faults last: longer than the staleness bound, the suspicion time and the lease.
 */
const FAULT_DURATION_MS = 8_000;
const STORE_OUTAGE_MS = 60_000;
const FRESH_FOR_MS = 2_500;
/** Each entry must give this many answers to each team before a case counts as recovered. */
const ANSWERS_AFTER_RECOVERY = 10;

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Whether `observer` lists `entry` as a member. */
async function isListed(system: TestSystem, observer: EntryHandle, entry: EntryHandle) {
  const { members } = await system.statusOf(observer);
  return members.some(({ memberId }) => memberId === entry.memberId);
}

async function waitUntilFenced(system: TestSystem, observer: EntryHandle, entry: EntryHandle) {
  await testing.waitFor.waitFor(
    `fence of ${entry.memberId}`,
    async () => !await isListed(system, observer, entry),
    { limitMs: FENCE_LIMIT_MS },
  );
}

async function restartAll(system: TestSystem, entries: readonly EntryHandle[]) {
  await Promise.all(entries.map((entry) => entry.program.kill()));
  await Promise.all(entries.map((entry) => system.startEntry(entry)));
}

/** One kind of fault, with functions that inject and end it. */
interface FaultCase {
  readonly name: string;
  readonly inject: (system: TestSystem) => Promise<void>;
  readonly end: (system: TestSystem) => Promise<void>;
  /**
   * Whether callers can receive the outcome "broken"; "answered" and "not-run" are always allowed.
   */
  readonly canBreak: boolean;
  /**
   * Whether every entry must answer even after its last store read has become too old to act on.
   */
  readonly keepsServing?: boolean;
}

const noAction = () => Promise.resolve();

const CASES: readonly FaultCase[] = [
  {
    name: "an entry is killed and restarted",
    canBreak: true,
    inject: async (system) => {
      const [victim, observer] = system.entries;
      await victim!.program.kill();
      await waitUntilFenced(system, observer!, victim!);
    },
    end: (system) => system.startEntry(system.entries[0]!),
  },
  {
    name: "an entry is frozen for longer than its lease",
    canBreak: true,
    inject: async (system) => {
      const [victim, observer] = system.entries;
      victim!.program.signal("SIGSTOP");
      await waitUntilFenced(system, observer!, victim!);
    },
    end: (system) => {
      system.entries[0]!.program.signal("SIGCONT");
      return Promise.resolve();
    },
  },
  {
    name: "messages from an entry to its peers are lost",
    canBreak: false,
    inject: async (system) => {
      const [victim, ...others] = system.entries;
      await system.cutLinks([victim!], others);
      await pause(FAULT_DURATION_MS);
    },
    end: (system) => system.healNetwork(),
  },
  {
    name: "an entry is partitioned from its peers but reaches the store",
    canBreak: false,
    inject: async (system) => {
      const [victim, ...others] = system.entries;
      await system.cutLinks([victim!], others);
      await system.cutLinks(others, [victim!]);
      await pause(FAULT_DURATION_MS);
    },
    end: (system) => system.healNetwork(),
  },
  {
    name: "a zone is partitioned from the other zones and from the store",
    canBreak: false,
    inject: async (system) => {
      const { inside, outside } = splitByZone(system);
      await system.cutLinks(inside, outside);
      await system.cutLinks(outside, inside);
      await system.cutStore(inside);
      await pause(FAULT_DURATION_MS);
    },
    end: (system) => system.healNetwork(),
  },
  {
    name: "a zone is partitioned from the other zones and only it reaches the store",
    canBreak: false,
    inject: async (system) => {
      const { inside, outside } = splitByZone(system);
      await system.cutLinks(inside, outside);
      await system.cutLinks(outside, inside);
      await system.cutStore(outside);
      await pause(FAULT_DURATION_MS);
    },
    end: (system) => system.healNetwork(),
  },
  {
    name: "the store is unavailable for a minute",
    canBreak: false,
    keepsServing: true,
    inject: async (system) => {
      await system.setStoreFaults({ rules: [{ outage: "hung" }] });
      await pause(STORE_OUTAGE_MS);
    },
    end: (system) => system.setStoreFaults(),
  },
  {
    name: "the store is slow and loses answers to applied writes while an entry is killed",
    canBreak: true,
    inject: async (system) => {
      await system.setStoreFaults({
        seed: SEED,
        rules: [{ delayMs: 100, delayJitterMs: 200, loseAnswerProbability: 0.2 }],
      });
      const [victim, observer] = system.entries;
      await victim!.program.kill();
      await waitUntilFenced(system, observer!, victim!);
      await system.startEntry(victim!);
    },
    end: (system) => system.setStoreFaults(),
  },
  {
    name: "all entries are killed and restarted at once",
    canBreak: true,
    inject: (system) => restartAll(system, system.entries),
    end: noAction,
  },
  {
    name: "backend servers reset connections and truncate answers",
    canBreak: true,
    inject: async (system) => {
      const [first, second] = [...system.backendServers.values()];
      await second!.setFaults([{ kind: "truncate", count: 20 }]);
      await first!.setFaults([{ kind: "resetMidAnswer", count: 20 }]);
      await pause(FAULT_DURATION_MS);
    },
    end: async (system) => {
      await Promise.all([...system.backendServers.values()].map((server) => server.setFaults([])));
    },
  },
];

function splitByZone(system: TestSystem) {
  const isInside = ({ availabilityZone }: EntryHandle) => availabilityZone === "zone-a";
  return {
    inside: system.entries.filter(isInside),
    outside: system.entries.filter((entry) => !isInside(entry)),
  };
}

describe("guarantees under faults", () => {
  let system: TestSystem;
  let traffic: testing.traffic.Traffic;

  beforeAll(async () => {
    system = new testing.testSystem.TestSystem({
      availabilityZones: AVAILABILITY_ZONES,
      entryCount: 9,
      useFaultProxy: true,
      seed: SEED,
    });
    await system.start();
    const services = { [SERVICE]: { pool: SERVICE, maxRunMs: DEADLINE_MS } };
    await system.publishExample({
      availabilityZones: AVAILABILITY_ZONES,
      services: [SERVICE],
      backendServersPerService: 3,
      teams: TEAMS,
    }, (config) => ({ ...config, services }));
  });

  beforeEach(() => {
    traffic = new testing.traffic.Traffic({
      entryUrls: system.entries.map(({ callerUrl }) => callerUrl),
      queues: [SERVICE],
      teams: testing.exampleConfig.exampleKeys(Object.keys(TEAMS)),
      loopsPerEntryAndTeam: 2,
      runMs: RUN_MS,
      deadlineMs: DEADLINE_MS,
      seed: SEED,
    });
    traffic.start();
  });

  afterEach(async () => {
    await traffic.stop();
    await Promise.all([...system.backendServers.values()].map((server) => server.reset()));
  });

  afterAll(() => system.stop());

  async function waitUntilServing(): Promise<void> {
    await system.waitUntilFresh();
    const sinceMs = Date.now();
    await testing.waitFor.waitFor(
      "answers from every entry to every team",
      () =>
        system.entries.every(({ callerUrl }) =>
          Object.keys(TEAMS).every((team) => {
            const answers = traffic.completed.filter((request) =>
              request.team === team && request.entryUrl === callerUrl &&
              request.sentAtMs >= sinceMs && request.answer.outcome === "answered"
            );
            return answers.length >= ANSWERS_AFTER_RECOVERY;
          })
        ),
      { limitMs: RECOVERY_LIMIT_MS },
    );
  }

  /** The URLs of the entries that answered requests sent at or after a time. */
  function answeringUrlsSince(sinceMs: number): Set<string> {
    const answered = traffic.completed.filter(({ sentAtMs, answer }) =>
      sentAtMs >= sinceMs && answer.outcome === "answered"
    );
    return new Set(answered.map(({ entryUrl }) => entryUrl));
  }

  async function revisions(): Promise<number[]> {
    const statuses = await Promise.all(system.entries.map((entry) => system.statusOf(entry)));
    return statuses.map(({ revision }) => revision);
  }

  it.each(CASES)("hold when $name", async ({ inject, end, canBreak, keepsServing = false }) => {
    await waitUntilServing();
    const acceptedRevision = Math.min(...await revisions());
    const injectedAtMs = Date.now();
    await inject(system);
    const servingUrls = answeringUrlsSince(injectedAtMs + 2 * FRESH_FOR_MS);
    if (keepsServing) expect(servingUrls.size).toBe(system.entries.length);
    await end(system);
    await waitUntilServing();
    expect(Math.min(...await revisions())).toBeGreaterThanOrEqual(acceptedRevision);
    const requests = await traffic.stop();
    const witness = await system.witness();
    expect(witness.violations(requests, { maxRunningByTeam: LIMITS })).toEqual([]);
    expect(witness.runCount).toBeGreaterThan(0);
    const broken = requests.filter(({ answer }) => answer.outcome === "broken");
    expect(canBreak ? [] : broken).toEqual([]);
  });
});
