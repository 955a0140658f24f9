import fc from "fast-check";
import * as v from "valibot";
import { describe, expect, it } from "vitest";
import * as schema from "@jackdawlink/schema";
import { type Faults, ROUND_MS, StewardSimulation } from "../test/steward_simulation.ts";
import type { Steward } from "./steward.ts";

const MAX_ROUNDS = 400;
const RUNS = 200;
const SEED = 20_261_204;

const faultsArbitrary: fc.Arbitrary<Faults> = fc.record({
  pauseAt: fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 2, maxLength: 2 }),
  loseEvery: fc.constantFrom(0, 3, 5, 7),
  listLagMs: fc.constantFrom(0, 400, 1_700, 4_000),
  outAt: fc.constantFrom(0, 3, 9),
});

async function runRounds(simulation: StewardSimulation, { steward, faults, isDone }: {
  steward: Steward;
  faults: Faults;
  isDone: () => boolean;
}): Promise<void> {
  for (let round = 1; round <= MAX_ROUNDS && !isDone(); round += 1) {
    simulation.clock.advance(ROUND_MS / 2);
    simulation.isOut = faults.outAt > 0 && round >= faults.outAt && round < faults.outAt + 4;
    await steward.runRound();
  }
}

describe("concurrent stewards", () => {
  it("respect budgets, limits and at-most-once starts in any interleaving", async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, faults) => {
        const simulation = new StewardSimulation(faults);
        await simulation.adoptVms();
        simulation.isLosingAnswers = true;
        let resume = () => {};
        const held = new Promise<void>((resolve) => {
          resume = resolve;
        });
        const schedule = (label: string) => scheduler.schedule(Promise.resolve(), label);
        const stewards = [0, 1, 2].map((index) => simulation.steward(index, { schedule, held }));
        const spec = v.parse(schema.fleet.jobSpecSchema, { cores: 1, memoryMb: 64, runMs: 1_500 });
        const submissions = Array.from(
          { length: 5 },
          (_, index) => stewards[2]?.jobs.submit("facilitators", { jobId: `job-${index}`, spec }),
        );
        let isDone = false;
        const isFinished = () =>
          isDone || stewards[2]?.state.waves.get("december")?.state === "finished";
        const loops = stewards.map((steward) =>
          runRounds(simulation, { steward, faults, isDone: isFinished })
        );
        await scheduler.waitFor(Promise.all([loops[2], ...submissions]));
        const waves = simulation.records(
          schema.storeKeys.WAVE_PREFIX,
          schema.fleet.waveRecordSchema,
        );
        expect(waves[0]).toMatchObject({ state: "finished" });
        isDone = true;
        resume();
        await scheduler.waitFor(Promise.all(loops));
        simulation.check();
        simulation.checkWitness();
        expect(simulation.violations).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
