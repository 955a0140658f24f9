/**
 * Counts the owner's calls to workers in simulated time: none to workers that are off, and an early one to
 * workers that come back.
 *
 * @module
 */
import { expect, test, vi } from "vitest";
import { useSimulatedTime, World } from "./test/model_world.ts";

/** A call may be on its way while a worker ends, and one more until the list of VMs shows that it has. */
const MAX_CALLS_AFTER_END = 2;
const STEP_MS = 250;

/** Submits jobs for `trafficMs`, and then lets the fleet come to rest. */
async function playTraffic(world: World, trafficMs: number): Promise<void> {
  for (let atMs = 0; atMs < trafficMs + 20_000; atMs += STEP_MS) {
    for (let count = 0; atMs < trafficMs && atMs % 4_000 < 2_000 && count < 3; count++) {
      void world.submit();
    }
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
}

useSimulatedTime();

test.each([1, 2, 3, 4])(
  "does not call the workers of VMs that were moved to standby, seed %s",
  async (seed) => {
    const world = new World(seed);
    await vi.advanceTimersByTimeAsync(2_000);
    await playTraffic(world, 12_000);
    world.nodes.forEach((node) => node.kill());
    const calls = world.fleet.callsAfterEnd();
    expect(world.witness.violations).toEqual([]);
    expect(calls.length).toBeGreaterThan(4);
    expect(calls.filter((count) => count > MAX_CALLS_AFTER_END)).toEqual([]);
  },
);

/** A new process is called once its registration has reached the owner through the store. */
const MAX_FIRST_CALL_DELAY_MS = 300;

test.each([
  { name: "with a new id", keepsId: false, downMs: 3_000 },
  { name: "under the same id", keepsId: true, downMs: 3_000 },
  { name: "under the same id, before its registration has expired", keepsId: true, downMs: 500 },
  { name: "under the same id, after its registration has expired", keepsId: true, downMs: 6_000 },
])("calls a worker soon after it has restarted $name", async ({ keepsId, downMs }) => {
  const world = new World(3);
  await vi.advanceTimersByTimeAsync(2_000);
  const vm = world.fleet.vmNames.find((name) => world.fleet.workerOf(name) !== undefined)!;
  world.fleet.crash(vm, downMs, { keepsId });
  await vi.advanceTimersByTimeAsync(downMs + 1_000);
  expect(world.fleet.firstCallDelayMs(vm)).toBeLessThan(MAX_FIRST_CALL_DELAY_MS);
  world.nodes.forEach((node) => node.kill());
});
