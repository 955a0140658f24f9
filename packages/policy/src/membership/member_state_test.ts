import { head as headRecord } from "@jackdawlink/schema";
import { expect, test } from "vitest";
import { MemberState, rulesOf } from "./member_state.ts";

const MAX_STORE_OUTAGE_MS = 60_000;
const FENCE_WAIT_MS = 4_000;
const JUMP_MS = 100_000;

const RULES = rulesOf({
  heartbeatMs: 500,
  freshForMs: 2_500,
  suspectAfterMs: 3_000,
  memberLeaseSeconds: 6,
  maxStoreOutageMs: MAX_STORE_OUTAGE_MS,
});
const IDENTITY = {
  memberId: "a",
  peerAddress: "127.0.0.1:1",
  operatorAddress: "127.0.0.1:2",
  availabilityZone: "zone-a",
};

/** The only member left, with a head that fences another one. */
function startState(withoutMajority: boolean): MemberState {
  const state = new MemberState({ identity: IDENTITY, incarnation: "a-1", rules: RULES });
  const head = {
    ...headRecord.EMPTY_HEAD,
    revision: 5,
    membersRevision: 5,
    members: [{ ...IDENTITY, incarnation: "a-1", leaving: false }],
    fences: [{ memberId: "b", incarnation: "b-1", revision: 5, clean: false, withoutMajority }],
  };
  state.adoptHead(head, 0);
  return state;
}

/** The state's decision after a wall clock was set forward by `JUMP_MS`. */
function decideAt(state: MemberState, steadyMs: number) {
  const nowMs = steadyMs + JUMP_MS;
  state.recordRead({ startedAtMs: nowMs, revision: 5, aliveIncarnations: new Set(["a-1"]) });
  return state.decide({
    nowMs,
    steadyMs,
    draining: false,
    canLeave: false,
    fenceWaitMs: FENCE_WAIT_MS,
  });
}

test("does not accept a fence without a majority early when the wall clock is set forward", () => {
  const state = startState(true);
  decideAt(state, MAX_STORE_OUTAGE_MS - 1);
  expect(state.fenceAcceptedAtMs("b-1")).toBeNull();
  decideAt(state, MAX_STORE_OUTAGE_MS);
  expect(state.fenceAcceptedAtMs("b-1")).toBe(MAX_STORE_OUTAGE_MS);
});

test("does not drop a fence early when the wall clock is set forward", () => {
  const state = startState(false);
  expect(decideAt(state, FENCE_WAIT_MS)).toBeNull();
  expect(decideAt(state, FENCE_WAIT_MS + 1)).toMatchObject({ kind: "dropFences" });
});
