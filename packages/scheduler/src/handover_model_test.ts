/**
 * Plays outages of the store in simulated time: the ownership passes to another node where that helps, and
 * stays where it does not.
 *
 * @module
 */
import { expect, test, vi } from "vitest";
import { useSimulatedTime, World } from "./test/model_world.ts";

/**
 * Within this time after the store has begun to refuse the owner, another node has to be placing tasks. The
 * owner's lease alone takes 2 s to expire.
 */
const MAX_HANDOVER_MS = 1_500;
const SEEDS = [1, 2, 3, 4];

/** Starts a world with running jobs. */
async function startWorld(seed: number): Promise<World> {
  const world = new World(seed);
  await vi.advanceTimersByTimeAsync(2_000);
  for (let count = 0; count < 8; count++) {
    void world.submit();
  }
  await vi.advanceTimersByTimeAsync(500);
  return world;
}

useSimulatedTime();

test.each(SEEDS)(
  "passes the ownership on when the store refuses the owner alone, seed %s",
  async (seed) => {
    const world = await startWorld(seed);
    const before = world.owner!;
    world.cutOwnerFromStore(10_000);
    await vi.advanceTimersByTimeAsync(MAX_HANDOVER_MS);
    const after = world.nodes.find((node) => node !== before && node.term !== undefined);
    expect(before.term).toBeUndefined();
    expect(world.releases).toEqual([{ node: before.name, hasTerm: false }]);
    expect(after?.term?.scheduler.isSettled).toBe(true);
    await vi.advanceTimersByTimeAsync(20_000);
    world.nodes.forEach((node) => node.kill());
    expect(world.witness.violations).toEqual([]);
  },
);

const KEPT: readonly { readonly name: string; readonly disturb: (world: World) => void }[] = [
  {
    name: "the store refuses all nodes for 1.5 s",
    disturb: ({ store }) => {
      store.faults.rejectedNodes.add("all");
      setTimeout(() => store.faults.rejectedNodes.clear(), 1_500);
    },
  },
  {
    name: "its wall clock is set forward and back",
    disturb: ({ owner }) => {
      owner!.setWallClock(6_000);
      setTimeout(() => owner!.setWallClock(-12_000), 2_000);
    },
  },
  {
    name: "the store is slow",
    disturb: ({ store }) => {
      store.faults.extraLatencyMs = 350;
    },
  },
  {
    name: "the store refuses one renewal",
    disturb: ({ store, owner }) => {
      store.faults.rejectedNodes.add(owner!.name);
      setTimeout(() => store.faults.rejectedNodes.clear(), 190);
    },
  },
];

test.each(KEPT)("keeps the owner when $name", async ({ disturb }) => {
  const world = await startWorld(1);
  const { owner } = world;
  const term = owner?.term;
  disturb(world);
  await vi.advanceTimersByTimeAsync(6_000);
  expect(owner?.term).toBe(term);
  expect(term).toBeDefined();
  world.nodes.forEach((node) => node.kill());
  expect(world.witness.violations).toEqual([]);
});
