import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as testing from "@jackdawlink/testing";
import { expect, test, vi } from "vitest";
import { Ownership, type TermStart } from "./ownership.ts";
import { useSimulatedTime, World } from "./test/model_world.ts";

const { PROOF_VALIDITY_MS } = policy.scheduling.ownershipProof;
const MAX_TAKEOVER_MS = 4_000;

/** A candidate that records its terms. */
function startCandidate(
  store: testing.modelStore.ModelStore,
  node: string,
): { ownership: Ownership; starts: TermStart[] } {
  const starts: TermStart[] = [];
  const ownership = new Ownership({
    node,
    incarnation: `${node}-1`,
    peerAddress: node,
    store: store.clientFor(node, () => true),
    clock: testing.schedulingFixtures.TIMER_CLOCK,
    log: adapters.log.SILENT_LOG,
    candidateDelayMs: 0,
    strength: 1,
    onStart: (start) => void starts.push(start),
    onProof: () => {},
    onEnd: () => {},
  });
  ownership.start();
  return { ownership, starts };
}

/**
 * Advances the simulated time until a condition holds, for `MAX_TAKEOVER_MS` at the most. `vi.waitFor` would
 * measure this limit in real time, which a busy machine exceeds.
 */
async function advanceUntil(condition: () => boolean): Promise<void> {
  const untilMs = Date.now() + MAX_TAKEOVER_MS;
  while (!condition() && Date.now() < untilMs) {
    await vi.advanceTimersByTimeAsync(1);
  }
  expect(condition()).toBe(true);
}

useSimulatedTime();

test.each([
  { name: "has lasted longer than any earlier proof", lastedMs: 2_000, expected: true },
  { name: "was shorter than an earlier owner's proof", lastedMs: 500, expected: false },
])(
  "takes over from an owner that has stopped, and allows for no stale orders: $expected, if its term $name",
  async ({ lastedMs, expected }) => {
    expect(lastedMs >= PROOF_VALIDITY_MS).toBe(expected);
    const store = new testing.modelStore.ModelStore(new testing.seededRandom.SeededRandom(1));
    const first = startCandidate(store, "n1");
    await vi.advanceTimersByTimeAsync(MAX_TAKEOVER_MS);
    const second = startCandidate(store, "n2");
    // The store refuses the first owner, which does not learn that its lease has expired.
    store.faults.rejectedNodes.add("n1");
    await advanceUntil(() => second.starts.length === 1);
    const third = startCandidate(store, "n3");
    await vi.advanceTimersByTimeAsync(lastedMs);
    void second.ownership.release();
    await advanceUntil(() => third.starts.length === 1);
    expect(second.starts[0]).toMatchObject({ hasPreviousOwnerStopped: false });
    expect(third.starts[0]).toMatchObject({ hasPreviousOwnerStopped: expected });
    [first, second, third].forEach(({ ownership }) => ownership.stop());
  },
);

test("a new owner does not give orders for longer than its first proof, however late the answer", async () => {
  const world = new World(1);
  const startedAtMs = Date.now();
  world.store.faults.extraLatencyMs = 700;
  await advanceUntil(() => world.owner !== undefined);
  const askedAtMs = Date.now() - startedAtMs - world.store.faults.extraLatencyMs;
  const proof = world.owner!.term!.ownershipProof;
  expect(proof.isStoreProofValid(askedAtMs)).toBe(true);
  expect(proof.isStoreProofValid(askedAtMs + PROOF_VALIDITY_MS)).toBe(false);
  world.nodes.forEach((node) => node.kill());
});
