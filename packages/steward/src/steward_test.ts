import * as v from "valibot";
import { describe, expect, it } from "vitest";
import * as schema from "@jackdawlink/schema";
import { ROUND_MS, StewardSimulation, VM_COUNT } from "../test/steward_simulation.ts";
import type { Steward } from "./steward.ts";

const IDLE_ROUNDS = 40;
/** In 20 s: the list of stewards is read every 2 s, all records and jobs every 10 s. */
const MAX_IDLE_READS = 16;
/** In 20 s: the steward's lease is renewed every 2 s; nothing else is written. */
const LEASE_RENEWALS = 10;
const MAX_ROUNDS = 200;
const NO_FAULTS = { pauseAt: [], loseEvery: 0, listLagMs: 0, outAt: 0 };
const OPTIONS = { schedule: () => Promise.resolve(), held: Promise.resolve() };

function isWaveFinished({ state }: Steward): boolean {
  return state.waves.get("december")?.state === "finished";
}

describe("the store traffic", () => {
  it.each([0, 50])("of idle rounds does not depend on %i running tasks", async (tasks) => {
    const simulation = new StewardSimulation(NO_FAULTS);
    const steward = simulation.steward(0, OPTIONS);
    const spec = v.parse(schema.fleet.jobSpecSchema, { cores: 0.1, memoryMb: 64, runMs: 1e9 });
    await steward.runRound();
    const submitted = Array.from(
      { length: tasks },
      (_, index) => steward.jobs.submit("boards", { jobId: `job-${index}`, spec }),
    );
    await Promise.all(submitted);
    for (let round = 0; round < MAX_ROUNDS && !isWaveFinished(steward); round += 1) {
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
    }
    expect(isWaveFinished(steward)).toBe(true);
    expect(simulation.model.tasks.starts.size).toBe(tasks);
    Object.assign(simulation.calls, { read: 0, write: 0 });
    for (let round = 0; round < IDLE_ROUNDS; round += 1) {
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
    }
    const { read, write } = simulation.calls;
    expect(write).toBe(LEASE_RENEWALS);
    expect(read).toBeLessThanOrEqual(MAX_IDLE_READS);
  });
});

describe("a marked VM", () => {
  const SETTLE_ROUNDS = 10;
  it("is drained only once the settle time has passed since a store outage", async () => {
    const simulation = new StewardSimulation(NO_FAULTS);
    const markSettleMs = SETTLE_ROUNDS * ROUND_MS;
    const steward = simulation.steward(0, { ...OPTIONS, markSettleMs });
    const runRounds = async (max: number, isDone: () => boolean) => {
      let rounds = 0;
      for (; rounds < max && !isDone(); rounds += 1) {
        simulation.clock.advance(ROUND_MS);
        await steward.runRound();
      }
      return rounds;
    };
    const isMarked = () => Object.keys(steward.state.draining.operations).length > 0;
    await runRounds(MAX_ROUNDS, isMarked);
    await runRounds(2, () => false);
    simulation.isOut = true;
    await runRounds(2 * SETTLE_ROUNDS, () => false);
    simulation.isOut = false;
    const rounds = await runRounds(
      MAX_ROUNDS,
      () => simulation.model.vmsUnderOperation().length > 0,
    );
    expect(rounds).toBeGreaterThanOrEqual(SETTLE_ROUNDS);
    expect(rounds).toBeLessThan(MAX_ROUNDS);
  });
});

describe("a steward whose wall clock is set forward", () => {
  const SETTLE_ROUNDS = 10;
  const JUMP_MS = 3_600_000;

  it("drains a marked VM only once the settle time has passed", async () => {
    const simulation = new StewardSimulation(NO_FAULTS);
    const steward = simulation.steward(0, { ...OPTIONS, markSettleMs: SETTLE_ROUNDS * ROUND_MS });
    const isMarked = () => Object.keys(steward.state.draining.operations).length > 0;
    for (let round = 0; round < MAX_ROUNDS && !isMarked(); round += 1) {
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
    }
    simulation.clock.advance(ROUND_MS);
    await steward.runRound();
    simulation.clock.setForward(JUMP_MS);
    let rounds = 0;
    while (rounds < MAX_ROUNDS && simulation.model.vmsUnderOperation().length === 0) {
      rounds += 1;
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
    }
    expect(rounds).toBeGreaterThanOrEqual(SETTLE_ROUNDS - 1);
    expect(rounds).toBeLessThan(MAX_ROUNDS);
  });

  it("keeps the record of a VM that is missing from a few lists", async () => {
    const simulation = new StewardSimulation(NO_FAULTS);
    const place = { vm: "gone", pool: "boards", availabilityZone: "zone-0", rack: "rack-0" };
    const value = JSON.stringify({ ...place, operationCount: 0, history: [] });
    const key = schema.storeKeys.vmKey(place.vm);
    await simulation.store.transact([], [{ kind: "put", key, value }]);
    const steward = simulation.steward(0, OPTIONS);
    for (let round = 0; round < 4; round += 1) {
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
      simulation.clock.setForward(JUMP_MS);
    }
    expect(steward.state.vms.has(place.vm)).toBe(true);
  });
});

describe("a stored record", () => {
  it.each([
    { vm: "gone", rounds: 1_300, isKept: false },
    { vm: "gone", rounds: 1_000, isKept: true },
  ])(
    "of a VM that has been missing for $rounds rounds: kept $isKept",
    async ({ vm, rounds, isKept }) => {
      const simulation = new StewardSimulation(NO_FAULTS);
      const place = { vm, pool: "boards", availabilityZone: "zone-0", rack: "rack-0" };
      const value = JSON.stringify({ ...place, operationCount: 0, history: [] });
      await simulation.store.transact([], [{
        kind: "put",
        key: schema.storeKeys.vmKey(vm),
        value,
      }]);
      const steward = simulation.steward(0, OPTIONS);
      for (let round = 0; round < rounds; round += 1) {
        simulation.clock.advance(ROUND_MS);
        await steward.runRound();
      }
      expect(steward.state.vms.has(vm)).toBe(isKept);
    },
  );

  it.each([
    { key: schema.storeKeys.vmKey("vm-1"), value: "{" },
    { key: schema.storeKeys.poolKey("spare"), value: '{"pool":"spare"}' },
    { key: schema.storeKeys.DRAINING, value: "[]" },
  ])("that does not fit its schema is left unchanged: $key", async ({ key, value }) => {
    const simulation = new StewardSimulation(NO_FAULTS);
    await simulation.store.transact([], [{ kind: "put", key, value }]);
    const steward = simulation.steward(0, OPTIONS);
    for (let round = 0; round < 20; round += 1) {
      simulation.clock.advance(ROUND_MS);
      await steward.runRound();
    }
    expect((await simulation.store.get(key))._unsafeUnwrap()?.value).toBe(value);
    expect(steward.state.vms.size).toBe(VM_COUNT - Number(key.endsWith("vm-1")));
    expect(simulation.model.vmsUnderOperation().filter(({ vm }) => vm === "vm-1")).toEqual([]);
  });
});

describe("a placer", () => {
  const RUN_ROUNDS = 5;
  it("ends its jobs after another steward took over the placer record and left", async () => {
    const simulation = new StewardSimulation(NO_FAULTS);
    const steward = simulation.steward(0, OPTIONS);
    const runRounds = async (rounds: number) => {
      for (let round = 0; round < rounds; round += 1) {
        simulation.clock.advance(ROUND_MS);
        await steward.runRound();
      }
    };
    const runMs = RUN_ROUNDS * ROUND_MS;
    const spec = v.parse(schema.fleet.jobSpecSchema, { cores: 0.1, memoryMb: 64, runMs });
    await steward.runRound();
    await steward.jobs.submit("boards", { jobId: "renewal", spec });
    await runRounds(2);
    const key = schema.storeKeys.JOB_PLACER;
    const value = JSON.stringify({ stewardId: "other", incarnation: "other" });
    await simulation.store.transact([], [{ kind: "put", key, value }]);
    await runRounds(4 * RUN_ROUNDS);
    const job = (await steward.jobs.find("renewal"))._unsafeUnwrap();
    expect(job?.state).toBe("succeeded");
    expect(simulation.model.tasks.starts.get("renewal.1")).toBe(1);
  });
});
