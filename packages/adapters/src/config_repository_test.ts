import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as fc from "fast-check";
import * as v from "valibot";
import { describe, expect, it } from "vitest";
import {
  ConfigCheckError,
  ConfigConflictError,
  type ConfigRecord,
  ConfigRepository,
} from "./config_repository.ts";
import { HeadRepository } from "./head_repository.ts";
import { SILENT_LOG } from "./log.ts";

const SEED = 20_261_204;
const RUNS = 150;

function makeRepositories(
  store: testing.memoryStore.MemoryStore,
  { maxTransactionChunks }: { maxTransactionChunks?: number } = {},
) {
  const clock = new testing.testClock.TestClock({ isAutoAdvancing: true });
  const headRepository = new HeadRepository({ store, clock, log: SILENT_LOG, random: () => 0.5 });
  const options = { store, headRepository, maxTransactionChunks };
  return { headRepository, configRepository: new ConfigRepository(options) };
}

function configWith(
  teams: readonly string[],
  { displayName = "" }: { displayName?: string } = {},
): schema.config.Config {
  return {
    ...schema.config.emptyConfig(),
    workspaces: { parish: { displayName } },
    teams: Object.fromEntries(teams.map((team) => [team, { workspace: "parish" }])),
  };
}

function storedDigests(store: testing.memoryStore.MemoryStore): readonly string[] {
  const { CHUNK_PREFIX } = schema.storeKeys;
  return store.table.range({ key: CHUNK_PREFIX, end: `${CHUNK_PREFIX}\uffff` })
    .map(({ key }) => key.slice(CHUNK_PREFIX.length));
}

async function publish(
  repository: ConfigRepository,
  { base, config }: { base: ConfigRecord; config: schema.config.Config },
) {
  return await repository.publish({ base, config, author: "ann", summary: "test" });
}

describe("ConfigRepository", () => {
  it("reports the conflicting changes to the operator who published second", async () => {
    const store = new testing.memoryStore.MemoryStore();
    const [ann, ben] = [makeRepositories(store), makeRepositories(store)];
    const base = (await ann.configRepository.read())._unsafeUnwrap();
    const first = await publish(ann.configRepository, { base, config: configWith(["packs"]) });
    expect(first.isOk()).toBe(true);
    const second = await publish(ben.configRepository, { base, config: configWith(["booking"]) });
    const error = second._unsafeUnwrapErr();
    expect(error).toBeInstanceOf(ConfigConflictError);
    const { changes } = error as InstanceType<typeof ConfigConflictError>;
    expect(changes.map(policy.configDiff.describeChange)).toEqual([
      "+ workspaces/parish",
      "+ teams/packs",
    ]);
  });

  it("rejects a service change of a backend server that is not draining yet", async () => {
    const { configRepository } = makeRepositories(new testing.memoryStore.MemoryStore());
    const configOf = (service: string, draining: boolean) =>
      v.parse(schema.config.configSchema, {
        pools: { packs: {} },
        services: { packs: { pool: "packs" }, booking: { pool: "packs" } },
        backendServers: {
          a: { service, draining, address: "127.0.0.1:1", vm: "a", availabilityZone: "z" },
        },
      });
    let base = (await configRepository.read())._unsafeUnwrap();
    base = (await publish(configRepository, { base, config: configOf("packs", false) }))
      ._unsafeUnwrap();
    const refused = await publish(configRepository, { base, config: configOf("booking", true) });
    expect(refused._unsafeUnwrapErr()).toMatchObject({ name: "ConfigCheckError" });
    for (const config of [configOf("packs", true), configOf("booking", false)]) {
      base = (await publish(configRepository, { base, config }))._unsafeUnwrap();
    }
  });

  it("retries a publish after a change of members, which does not affect the checks", async () => {
    const store = new testing.memoryStore.MemoryStore();
    const { headRepository, configRepository } = makeRepositories(store);
    const base = (await configRepository.read())._unsafeUnwrap();
    await headRepository.update({ author: "x", summary: "join", mutate: () => ({ members: [] }) });
    const published = await publish(configRepository, { base, config: configWith(["packs"]) });
    expect(published._unsafeUnwrap().head).toMatchObject({
      revision: 2,
      configRevision: 2,
      membersRevision: 1,
    });
  });

  it("rejects a configuration with errors and writes nothing", async () => {
    const store = new testing.memoryStore.MemoryStore();
    const { configRepository } = makeRepositories(store);
    const base = (await configRepository.read())._unsafeUnwrap();
    const config = { ...configWith(["packs"]), workspaces: {} };
    const published = await publish(configRepository, { base, config });
    expect(published._unsafeUnwrapErr()).toBeInstanceOf(ConfigCheckError);
    expect(store.table.revision).toBe(1);
  });

  it.each([
    { title: "text that is not JSON", value: "{" },
    { title: "an object of another shape", value: '{"revision":"three"}' },
  ])("reports a head that is $title", async ({ value }) => {
    const store = new testing.memoryStore.MemoryStore();
    store.table.commit(() => store.table.put(schema.storeKeys.HEAD, value, { leaseId: "0" }));
    const read = await makeRepositories(store).configRepository.read();
    expect(read._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.InvalidInputError);
  });

  it("reports a chunk whose text does not match its digest", async () => {
    const store = new testing.memoryStore.MemoryStore();
    const { configRepository } = makeRepositories(store);
    const base = (await configRepository.read())._unsafeUnwrap();
    await publish(configRepository, { base, config: configWith(["packs"]) });
    const key = schema.storeKeys.chunkKey(storedDigests(store)[0] ?? "");
    const otherText = '{"kind":"teams","objects":{}}';
    store.table.commit(() => store.table.put(key, otherText, { leaseId: "0" }));
    const read = await makeRepositories(store).configRepository.read();
    expect(read._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.InvalidInputError);
  });

  it("writes a configuration in several transactions if it is too large for one", async () => {
    const store = new testing.memoryStore.MemoryStore();
    const { configRepository } = makeRepositories(store);
    const base = (await configRepository.read())._unsafeUnwrap();
    const teams = Array.from({ length: 40_000 }, (_, index) => `team-${index}`);
    const large = await publish(configRepository, { base, config: configWith(teams) });
    const record = large._unsafeUnwrap();
    expect(record.head.chunks.length).toBeGreaterThan(100);
    const read = await makeRepositories(store).configRepository.read();
    expect(read._unsafeUnwrap().config).toEqual(record.config);
    await publish(configRepository, { base: record, config: configWith(["packs"]) });
    expect(storedDigests(store)).toHaveLength(2);
  });

  it.each([
    { title: "that fit into one transaction", maxTransactionChunks: 50 },
    { title: "that do not fit into one transaction", maxTransactionChunks: 1 },
  ])("keeps the chunks of configurations $title", async ({ maxTransactionChunks }) => {
    const step = fc.record({
      teams: fc.subarray(["packs", "booking", "renewals"]),
      displayName: fc.constantFrom("a", "b"),
    });
    const steps = fc.array(fc.tuple(step, step), { minLength: 1, maxLength: 6 });
    const outcomes = fc.infiniteStream(
      fc.oneof(
        { weight: 6, arbitrary: fc.constant("answered" as const) },
        { weight: 1, arbitrary: fc.constantFrom("lost-before", "lost-after", "late") },
      ),
    );
    await fc.assert(
      fc.asyncProperty(steps, outcomes, async (rounds, outcome) => {
        const store = new testing.memoryStore.MemoryStore({
          outcomeOf: (call) =>
            call === "write" ? outcome.next().value as testing.memoryStore.CallOutcome : "answered",
          pause: () => new Promise(setImmediate),
        });
        const operators = [1, 2].map(() => makeRepositories(store, { maxTransactionChunks }));
        for (const round of rounds) {
          const bases = await Promise.all(
            operators.map(({ configRepository }) => configRepository.read()),
          );
          const results = await Promise.all(round.map(async ({ teams, displayName }, index) => {
            const { configRepository } = operators[index]!;
            const base = bases[index]!._unsafeUnwrap();
            const config = configWith(teams, { displayName });
            return { config, published: await publish(configRepository, { base, config }) };
          }));
          await store.settled();
          const reader = makeRepositories(store).configRepository;
          const { head, config } = (await reader.read())._unsafeUnwrap();
          const digests = head.chunks.map((chunk) => chunk.digest);
          expect(storedDigests(store)).toEqual(expect.arrayContaining(digests));
          if (maxTransactionChunks > 1) expect(storedDigests(store)).toHaveLength(digests.length);
          const winners = results.filter(({ published }) => published.isOk());
          expect(winners.length).toBeLessThanOrEqual(1);
          if (winners.length === 1) expect(config).toEqual(winners[0]?.config);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("never loses a chunk of the head during concurrent publishes and sweeps", async () => {
    const step = fc.subarray(["packs", "booking", "renewals"]);
    const plans = fc.array(fc.array(step, { minLength: 3, maxLength: 6 }), {
      minLength: 2,
      maxLength: 3,
    });
    const pauses = fc.infiniteStream(fc.integer({ min: 0, max: 4 }));
    await fc.assert(
      fc.asyncProperty(plans, pauses, async (operators, turns) => {
        const store = new testing.memoryStore.MemoryStore({
          pause: async () => {
            for (let turn = turns.next().value as number; turn > 0; turn -= 1) {
              await new Promise(setImmediate);
            }
          },
        });
        await Promise.all(operators.map(async (steps) => {
          const { configRepository } = makeRepositories(store, { maxTransactionChunks: 1 });
          for (const [index, teams] of steps.entries()) {
            const base = await configRepository.read();
            if (base.isErr()) continue;
            const config = configWith(teams, { displayName: String(index % 2) });
            await publish(configRepository, { base: base.value, config });
          }
        }));
        const read = await makeRepositories(store).configRepository.read();
        const digests = read._unsafeUnwrap().head.chunks.map((chunk) => chunk.digest);
        expect(storedDigests(store)).toEqual(expect.arrayContaining(digests));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
