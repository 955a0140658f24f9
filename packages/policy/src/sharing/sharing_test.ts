import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as maxMin from "./max_min.ts";
import * as targets from "./targets.ts";

const STEP_MS = 5;
const WINDOW_MS = 10_000;

describe("maxMinShares", () => {
  it.each([
    { slots: 8, participants: [[1, 100], [3, 100]], shares: [2, 6] },
    { slots: 8, participants: [[1, 1], [3, 100]], shares: [1, 7] },
    { slots: 8, participants: [[1, 2], [1, 2]], shares: [2, 2] },
    { slots: 0, participants: [[1, 2]], shares: [0] },
    { slots: 9, participants: [[1, 2], [1, 100], [1, 100]], shares: [2, 3.5, 3.5] },
  ])("divides $slots among $participants as $shares", ({ slots, participants, shares }) => {
    const divided = maxMin.maxMinShares(
      slots,
      participants.map(([weight, demand], index) => ({
        id: `${index}`,
        weight: weight!,
        demand: demand!,
      })),
    );
    expect([...shares.keys()].map((index) => divided.get(`${index}`))).toEqual(shares);
  });
});

const participantsArbitrary = fc.array(
  fc.record({ weight: fc.integer({ min: 1, max: 9 }), demand: fc.integer({ min: 0, max: 30 }) }),
  { minLength: 1, maxLength: 30 },
).map((participants) =>
  participants.map((participant, index) => ({ ...participant, id: `team-${index}` }))
);

describe("FairAllocator", () => {
  it("allocates whole slots within demand and leaves no demanded slot unused", () => {
    const property = fc.property(
      fc.nat(64),
      fc.array(participantsArbitrary, { minLength: 1, maxLength: 20 }),
      (slots, rounds) => {
        const allocator = new maxMin.FairAllocator();
        for (const [round, participants] of rounds.entries()) {
          const counts = allocator.allocate(slots, participants, { nowMs: round * STEP_MS });
          const demanded = participants.reduce((sum, participant) => sum + participant.demand, 0);
          const allocated = participants.reduce(
            (sum, participant) => sum + (counts.get(participant.id) ?? 0),
            0,
          );
          expect(allocated).toBe(Math.min(slots, demanded));
          for (const participant of participants) {
            expect(Number.isInteger(counts.get(participant.id))).toBe(true);
            expect(counts.get(participant.id)).toBeLessThanOrEqual(participant.demand);
          }
        }
      },
    );
    fc.assert(property, { seed: 3 });
  });

  it.each([
    { slots: 2, weights: [1, 1, 1, 1, 1, 1, 1, 1, 1] },
    { slots: 7, weights: [1, 2, 3, 5] },
    { slots: 3, weights: [1, 1, 1, 9] },
    { slots: 40, weights: [7, 11, 13, 1, 1] },
  ])(
    "stays within 3% of each share over 10 s: $slots slots, weights $weights",
    ({ slots, weights }) => {
      const allocator = new maxMin.FairAllocator();
      const participants = weights.map((weight, index) => ({
        id: `${index}`,
        weight,
        demand: 100,
      }));
      const shares = maxMin.maxMinShares(slots, participants);
      const sums = new Map<string, number>();
      for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += STEP_MS) {
        for (const [id, count] of allocator.allocate(slots, participants, { nowMs })) {
          sums.set(id, (sums.get(id) ?? 0) + count * STEP_MS / WINDOW_MS);
        }
      }
      for (const [id, share] of shares) {
        expect(Math.abs(sums.get(id)! - share) / share).toBeLessThan(0.03);
      }
    },
  );
});

describe("TargetPlanner", () => {
  const rules = new Map([
    ["billing", { weight: 3, limit: null }],
    ["reminders", { weight: 1, limit: null }],
    ["catalogue", { weight: 4, limit: 2 }],
  ]);

  function loads(table: Record<string, Record<string, number>>) {
    return new Map(
      Object.entries(table).map(([entry, teams]) => [
        entry,
        Object.entries(teams).map(([team, waiting]) => ({
          team,
          running: 0,
          waiting,
          urgentWaiting: 0,
        })),
      ]),
    );
  }

  it.each<{
    name: string;
    table: Record<string, Record<string, number>>;
    sums: Record<string, number>;
  }>([
    {
      name: "slots by weight under contention, with skewed callers",
      table: { a: { billing: 90 }, b: { reminders: 50 }, c: { reminders: 50 } },
      sums: { billing: 30, reminders: 10 },
    },
    {
      name: "slots that a team doesn't need to the others",
      table: { a: { billing: 5 }, b: { reminders: 50 } },
      sums: { billing: 5, reminders: 35 },
    },
    {
      name: "no more slots than the limit of a team",
      table: { a: { catalogue: 50 }, b: { catalogue: 50, reminders: 10 } },
      sums: { catalogue: 2, reminders: 10 },
    },
  ])("allocates $name", ({ table, sums }) => {
    const planner = new targets.TargetPlanner();
    const planned = planner.plan(40, {
      loads: loads(table),
      ruleOf: (team) => rules.get(team),
      nowMs: 0,
    });
    const found: Record<string, number> = {};
    for (const [entry, teams] of planned) {
      for (const [team, count] of teams) {
        found[team] = (found[team] ?? 0) + count;
        expect(count).toBeLessThanOrEqual(
          table[entry]![team]!,
        );
      }
    }
    expect(found).toEqual(sums);
  });
});
