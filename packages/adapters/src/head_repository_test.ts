import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { HeadRepository, OutcomeUnknownError } from "./head_repository.ts";
import { SILENT_LOG } from "./log.ts";

const SEED = 20_261_204;
const RUNS = 300;

let lastChangeId = 0;

function makeRepository(store: testing.memoryStore.MemoryStore): HeadRepository {
  return new HeadRepository({
    store,
    clock: new testing.testClock.TestClock({ isAutoAdvancing: true }),
    log: SILENT_LOG,
    random: () => 0.5,
    newChangeId: () => `change-${lastChangeId += 1}`,
  });
}

function member(memberId: string): schema.head.Member {
  return {
    memberId,
    incarnation: "1",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    availabilityZone: "eu-west-a",
    leaving: false,
  };
}

/** Returns the given outcomes for successive writes; later writes, and all reads, are answered. */
function scriptedOutcomes(outcomes: readonly testing.memoryStore.CallOutcome[]) {
  const left = [...outcomes];
  return (call: "read" | "write") => call === "write" ? left.shift() ?? "answered" : "answered";
}

describe("HeadRepository.change", () => {
  it.each(
    [
      { title: "an answered write", outcomes: [], overtaken: false },
      { title: "a write lost before it takes effect", outcomes: ["lost-before"], overtaken: false },
      { title: "a response lost after the write", outcomes: ["lost-after"], overtaken: false },
      { title: "a lost response and a later revision", outcomes: ["lost-after"], overtaken: true },
      { title: "two lost responses", outcomes: ["lost-after", "lost-after"], overtaken: false },
      { title: "a write that takes effect late", outcomes: ["late"], overtaken: false },
    ] as const,
  )("takes effect once after $title", async ({ outcomes, overtaken }) => {
    let other: HeadRepository | null = null;
    let isFirstWrite = true;
    const outcome = scriptedOutcomes(outcomes);
    const store = new testing.memoryStore.MemoryStore({ outcomeOf: outcome });
    const repository = makeRepository(store);
    if (overtaken) {
      other = makeRepository(store);
      const stop = store.table.onEvents(() => {
        if (!isFirstWrite) return;
        isFirstWrite = false;
        stop();
        const head = JSON.parse(store.table.get(schema.storeKeys.HEAD)?.value ?? "") as unknown;
        const next = { ...(head as schema.head.Head), revision: 2, changeId: "other" };
        queueMicrotask(() =>
          store.table.commit(() =>
            store.table.put(schema.storeKeys.HEAD, JSON.stringify(next), { leaseId: "0" })
          )
        );
      });
    }
    const base = (await repository.read())._unsafeUnwrap();
    const edit = { members: [member("entry-1")] };
    const changed = await repository.change(base, { edit, author: "ann", summary: "join" });
    await store.settled();
    expect(changed._unsafeUnwrap().head.revision).toBe(1);
    const newest = (await (other ?? repository).read())._unsafeUnwrap();
    expect(newest.head.revision).toBe(overtaken ? 2 : 1);
    expect(newest.head.members).toHaveLength(1);
  });

  it("rejects a change based on an old revision", async () => {
    const repository = makeRepository(new testing.memoryStore.MemoryStore());
    const base = (await repository.read())._unsafeUnwrap();
    const change = { edit: {}, author: "ann", summary: "first" };
    expect((await repository.change(base, change)).isOk()).toBe(true);
    const second = await repository.change(base, change);
    expect(second._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.ConflictError);
  });

  it("fails with an unknown outcome if no response arrives in time", async () => {
    const store = new testing.memoryStore.MemoryStore({
      outcomeOf: (call) => call === "write" ? "lost-before" : "answered",
    });
    const repository = makeRepository(store);
    const base = (await repository.read())._unsafeUnwrap();
    const changed = await repository.change(base, { edit: {}, author: "ann", summary: "lost" });
    expect(changed._unsafeUnwrapErr()).toBeInstanceOf(OutcomeUnknownError);
  });
});

describe("HeadRepository.update", () => {
  it("applies each confirmed change exactly once when responses are lost", async () => {
    const outcomes = fc.infiniteStream(
      fc.oneof(
        { weight: 5, arbitrary: fc.constant("answered" as const) },
        { weight: 1, arbitrary: fc.constantFrom("lost-before", "lost-after", "late") },
      ),
    );
    const pauses = fc.infiniteStream(fc.integer({ min: 0, max: 3 }));
    await fc.assert(
      fc.asyncProperty(
        outcomes,
        pauses,
        fc.integer({ min: 2, max: 5 }),
        async (outcome, turns, count) => {
          const store = new testing.memoryStore.MemoryStore({
            outcomeOf: () => outcome.next().value as testing.memoryStore.CallOutcome,
            pause: async () => {
              for (let turn = turns.next().value as number; turn > 0; turn -= 1) {
                await new Promise(setImmediate);
              }
            },
          });
          const ids = Array.from({ length: count }, (_, index) => `entry-${index}`);
          const results = await Promise.all(ids.map((id) =>
            makeRepository(store).update({
              author: id,
              summary: "join",
              mutate: (head) => ({ members: [...head.members, member(id)] }),
            })
          ));
          await store.settled();
          const value = store.table.get(schema.storeKeys.HEAD)?.value ?? '{"members":[]}';
          const head = JSON.parse(value) as schema.head.Head;
          ids.forEach((id, index) => {
            const timesListed = head.members.filter((listed) => listed.memberId === id).length;
            if (results[index]?.isOk()) expect(timesListed).toBe(1);
            else expect(timesListed).toBeLessThanOrEqual(1);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
