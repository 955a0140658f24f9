import { head as headRecord } from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import { Acceptance } from "./acceptance.ts";
import { Freshness } from "./freshness.ts";
import * as headChanges from "./head_changes.ts";
import { MembershipPolicy, type MembershipView } from "./membership.ts";

const RULES = { takeoverAfterMs: 9_000, rankStepMs: 500 };
const FRESHNESS_RULES = { freshForMs: 2_500, maxStoreOutageMs: 60_000 };

function member(memberId: string, incarnation = `${memberId}-1`): headRecord.Member {
  return {
    memberId,
    incarnation,
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    availabilityZone: "zone-a",
    leaving: false,
  };
}

function headOf(memberIds: readonly string[]): headRecord.Head {
  const members = memberIds.map((memberId) => member(memberId));
  return { ...headRecord.EMPTY_HEAD, revision: 5, membersRevision: 5, members };
}

function viewOf(changes: Partial<MembershipView>): MembershipView {
  return {
    nowMs: 100_000,
    head: headOf(["a", "b", "c"]),
    self: member("a"),
    isFirstJoin: false,
    canLeave: false,
    draining: false,
    hasRecentStoreRead: true,
    aliveIncarnations: new Set(["a-1", "b-1", "c-1"]),
    majorityRevision: 5,
    reachableMemberIds: new Set(["b", "c"]),
    unreachableMemberIds: new Set(),
    unreachableReports: new Map(),
    expiredFences: new Set(),
    ...changes,
  };
}

const LAPSED_C = {
  aliveIncarnations: new Set(["a-1", "b-1"]),
  reachableMemberIds: new Set(["b"]),
  unreachableMemberIds: new Set(["c"]),
};
const ALL_GONE = {
  aliveIncarnations: new Set<string>(),
  reachableMemberIds: new Set<string>(),
  unreachableMemberIds: new Set(["a", "b", "c"]),
};
const GUEST = member("d");

describe("MembershipPolicy", () => {
  it.each<{ name: string; view: Partial<MembershipView>; kind: string | null }>([
    { name: "nothing to do", view: {}, kind: null },
    { name: "a lapsed and unheard member", view: LAPSED_C, kind: "fence" },
    {
      name: "the same without the store",
      view: { ...LAPSED_C, hasRecentStoreRead: false },
      kind: null,
    },
    {
      name: "the same before the last change settled",
      view: { ...LAPSED_C, majorityRevision: 4 },
      kind: null,
    },
    {
      name: "lapsed but heard",
      view: { ...LAPSED_C, unreachableMemberIds: new Set() },
      kind: null,
    },
    {
      name: "alive but unheard by this one alone",
      view: { reachableMemberIds: new Set(["b"]), unreachableMemberIds: new Set(["c"]) },
      kind: null,
    },
    {
      name: "alive but unheard by a majority",
      view: {
        reachableMemberIds: new Set(["b"]),
        unreachableMemberIds: new Set(["c"]),
        unreachableReports: new Map([["b", ["c"]]]),
      },
      kind: "fence",
    },
    { name: "a lower-ranked one waits", view: { ...LAPSED_C, self: member("b") }, kind: null },
    { name: "may leave", view: { canLeave: true }, kind: "leave" },
    {
      name: "may leave, not settled",
      view: { canLeave: true, majorityRevision: 4 },
      kind: null,
    },
    { name: "expired fences", view: { expiredFences: new Set(["x"]) }, kind: "dropFences" },
    { name: "a guest that hears a majority", view: { self: GUEST }, kind: "join" },
    {
      name: "a guest that hears no majority",
      view: { self: GUEST, reachableMemberIds: new Set(["b"]) },
      kind: null,
    },
    { name: "a draining guest", view: { self: GUEST, draining: true }, kind: null },
    { name: "a guest of an empty list", view: { self: GUEST, head: headOf([]) }, kind: "join" },
    {
      name: "a restarted member takes its own slot",
      view: { ...ALL_GONE, self: member("a", "a-2"), isFirstJoin: true },
      kind: "join",
    },
    {
      name: "a fenced one does not take a slot that another holds",
      view: { self: member("a", "a-2") },
      kind: null,
    },
    {
      name: "a guest waits before it goes on alone",
      view: { ...ALL_GONE, self: GUEST },
      kind: null,
    },
  ])("decides on $name: $kind", ({ view, kind }) => {
    expect(new MembershipPolicy(RULES).decide(viewOf(view))?.kind ?? null).toBe(kind);
  });

  it.each([
    { name: "a lower-ranked member", view: { ...LAPSED_C, self: member("b") }, afterMs: 500 },
    { name: "a guest without any member", view: { ...ALL_GONE, self: GUEST }, afterMs: 9_000 },
  ])("lets $name fence after $afterMs ms", ({ view, afterMs }) => {
    const policy = new MembershipPolicy(RULES);
    policy.decide(viewOf(view));
    expect(policy.decide(viewOf({ ...view, nowMs: 100_000 + afterMs - 1 }))).toBeNull();
    expect(policy.decide(viewOf({ ...view, nowMs: 100_000 + afterMs }))?.kind).toBe("fence");
  });
});

describe("editOf", () => {
  it("fences the earlier incarnation of a member that joins again, not as clean", () => {
    const self = member("b", "b-2");
    const edit = headChanges.editOf(headOf(["a", "b"]), { decision: { kind: "join" }, self });
    expect(edit.members?.map(({ incarnation }) => incarnation)).toEqual(["a-1", "b-2"]);
    expect(edit.fences).toMatchObject([{ incarnation: "b-1", revision: 6, clean: false }]);
  });
});

describe("Freshness", () => {
  const question = {
    members: headOf(["a", "b", "c", "d", "e"]).members,
    memberId: "a",
    incarnation: "a-1",
  };
  const heard = (memberId: string, changes: object = {}) => ({
    memberId,
    incarnation: `${memberId}-1`,
    revision: 5,
    echoedAtMs: 1_000,
    storeReadAgeMs: 10_000,
    ...changes,
  });

  it.each([
    { name: "an own read", reads: [{ startedAtMs: 1_000, revision: 5 }], beats: [], by: "store" },
    { name: "a read not held", reads: [{ startedAtMs: 1_000, revision: 6 }], beats: [], by: null },
    {
      name: "a peer's read",
      reads: [],
      beats: [heard("b", { storeReadAgeMs: 0 })],
      by: "peerRead",
    },
    { name: "an old peer's read", reads: [], beats: [heard("b", { storeReadAgeMs: 1 })], by: null },
    { name: "a majority", reads: [], beats: [heard("b"), heard("c")], by: "majority" },
    { name: "a minority", reads: [], beats: [heard("b")], by: null },
    {
      name: "a majority with one higher revision",
      reads: [],
      beats: [heard("b"), heard("c", { revision: 6 })],
      by: null,
    },
    {
      name: "a majority with an unlisted incarnation",
      reads: [],
      beats: [heard("b"), heard("c", { incarnation: "c-2" })],
      by: null,
    },
    {
      name: "a majority whose last read is too old",
      reads: [],
      beats: [heard("b", { storeReadAgeMs: 57_501 }), heard("c", { storeReadAgeMs: null })],
      by: null,
    },
  ])("is fresh by $name: $by", ({ reads, beats, by }) => {
    const freshness = new Freshness(FRESHNESS_RULES);
    freshness.setHeldRevision(5);
    reads.forEach((read) => freshness.recordOwnRead(read));
    beats.forEach((beat) => freshness.recordHeartbeat(beat));
    expect(freshness.source({ ...question, nowMs: 3_500 })).toBe(by);
    expect(freshness.source({ ...question, nowMs: 3_501 })).toBeNull();
    expect(freshness.source({ ...question, nowMs: 3_500, incarnation: "a-2" })).toBeNull();
  });
});

describe("Acceptance", () => {
  it.each([
    { name: "a majority below the list's revision", reports: { "b-1": 4 }, accepted: 0 },
    { name: "a majority", reports: { "b-1": 5 }, accepted: 5 },
    { name: "an unlisted incarnation", reports: { "b-2": 5 }, accepted: 0 },
  ])("counts $name as $accepted", ({ reports, accepted }) => {
    const acceptance = new Acceptance(FRESHNESS_RULES);
    Object.entries(reports).forEach(([name, revision]) =>
      acceptance.recordHeldRevision(name, revision)
    );
    acceptance.update({ head: headOf(["a", "b", "c"]), incarnation: "a-1", nowMs: 1 });
    expect(acceptance.acceptedRevision()).toBe(accepted);
  });

  it("accepts a fence without majority only after the longest store outage", () => {
    const acceptance = new Acceptance(FRESHNESS_RULES);
    const fence = { memberId: "b", incarnation: "b-1", revision: 5, clean: false };
    const head = { ...headOf(["a"]), fences: [{ ...fence, withoutMajority: true }] };
    acceptance.update({ head, incarnation: "a-1", nowMs: 0 });
    acceptance.update({ head, incarnation: "a-1", nowMs: 59_999 });
    expect(acceptance.fenceAcceptedAtMs("b-1")).toBeNull();
    acceptance.update({ head, incarnation: "a-1", nowMs: 60_000 });
    expect(acceptance.fenceAcceptedAtMs("b-1")).toBe(60_000);
  });
});
