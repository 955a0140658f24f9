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
    steadyMs: 100_000,
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

const EXPIRED_C = {
  aliveIncarnations: new Set(["a-1", "b-1"]),
  reachableMemberIds: new Set(["b"]),
  unreachableMemberIds: new Set(["c"]),
};
const ALL_DEAD = {
  aliveIncarnations: new Set<string>(),
  reachableMemberIds: new Set<string>(),
  unreachableMemberIds: new Set(["a", "b", "c"]),
};
const UNLISTED = member("d");

describe("MembershipPolicy", () => {
  it.each<{ name: string; view: Partial<MembershipView>; kind: string | null }>([
    { name: "all members alive and reachable", view: {}, kind: null },
    { name: "an unreachable member with an expired lease", view: EXPIRED_C, kind: "fence" },
    {
      name: "the same without a recent store read",
      view: { ...EXPIRED_C, hasRecentStoreRead: false },
      kind: null,
    },
    {
      name: "the same before a majority holds the last change",
      view: { ...EXPIRED_C, majorityRevision: 4 },
      kind: null,
    },
    {
      name: "a reachable member with an expired lease",
      view: { ...EXPIRED_C, unreachableMemberIds: new Set() },
      kind: null,
    },
    {
      name: "a live member that only this process cannot reach",
      view: { reachableMemberIds: new Set(["b"]), unreachableMemberIds: new Set(["c"]) },
      kind: null,
    },
    {
      name: "a live member that a majority cannot reach",
      view: {
        reachableMemberIds: new Set(["b"]),
        unreachableMemberIds: new Set(["c"]),
        unreachableReports: new Map([["b", ["c"]]]),
      },
      kind: "fence",
    },
    {
      name: "an expired lease as a member of lower rank, before its delay",
      view: { ...EXPIRED_C, self: member("b") },
      kind: null,
    },
    { name: "its own leaving", view: { canLeave: true }, kind: "leave" },
    {
      name: "its own leaving before a majority holds the last change",
      view: { canLeave: true, majorityRevision: 4 },
      kind: null,
    },
    { name: "expired fences", view: { expiredFences: new Set(["x"]) }, kind: "dropFences" },
    { name: "joining when a majority is reachable", view: { self: UNLISTED }, kind: "join" },
    {
      name: "joining when no majority is reachable",
      view: { self: UNLISTED, reachableMemberIds: new Set(["b"]) },
      kind: null,
    },
    { name: "joining while draining", view: { self: UNLISTED, draining: true }, kind: null },
    { name: "joining an empty list", view: { self: UNLISTED, head: headOf([]) }, kind: "join" },
    {
      name: "joining in its own slot after a restart",
      view: { ...ALL_DEAD, self: member("a", "a-2"), isFirstJoin: true },
      kind: "join",
    },
    {
      name: "joining in its slot while a live incarnation holds it",
      view: { self: member("a", "a-2") },
      kind: null,
    },
    {
      name: "an unlisted process alone, before the takeover delay",
      view: { ...ALL_DEAD, self: UNLISTED },
      kind: null,
    },
  ])("decides on $name: $kind", ({ view, kind }) => {
    expect(new MembershipPolicy(RULES).decide(viewOf(view))?.kind ?? null).toBe(kind);
  });

  it.each([
    { name: "a lower-ranked member", view: { ...EXPIRED_C, self: member("b") }, afterMs: 500 },
    {
      name: "an unlisted process without any live member",
      view: { ...ALL_DEAD, self: UNLISTED },
      afterMs: 9_000,
    },
  ])("lets $name fence after $afterMs ms", ({ view, afterMs }) => {
    const policy = new MembershipPolicy(RULES);
    policy.decide(viewOf(view));
    expect(policy.decide(viewOf({ ...view, steadyMs: 100_000 + afterMs - 1 }))).toBeNull();
    expect(policy.decide(viewOf({ ...view, steadyMs: 100_000 + afterMs }))?.kind).toBe("fence");
  });
});

describe("editOf", () => {
  it("fences the earlier incarnation, as not clean, when a member joins again", () => {
    const self = member("b", "b-2");
    const edit = headChanges.editOf(headOf(["a", "b"]), { decision: { kind: "join" }, self });
    expect(edit.members?.map(({ incarnation }) => incarnation)).toEqual(["a-1", "b-2"]);
    expect(edit.fences).toMatchObject([{ incarnation: "b-1", revision: 6, clean: false }]);
  });
});

describe("Freshness", () => {
  const query = {
    members: headOf(["a", "b", "c", "d", "e"]).members,
    memberId: "a",
    incarnation: "a-1",
  };
  const heartbeatFrom = (memberId: string, changes: object = {}) => ({
    memberId,
    incarnation: `${memberId}-1`,
    revision: 5,
    echoedAtMs: 1_000,
    storeReadAgeMs: 10_000,
    ...changes,
  });

  it.each([
    {
      name: "an own read",
      reads: [{ startedAtMs: 1_000, revision: 5 }],
      heartbeats: [],
      by: "store",
    },
    {
      name: "an own read of a revision not held",
      reads: [{ startedAtMs: 1_000, revision: 6 }],
      heartbeats: [],
      by: null,
    },
    {
      name: "a recent read of a peer",
      reads: [],
      heartbeats: [heartbeatFrom("b", { storeReadAgeMs: 0 })],
      by: "peerRead",
    },
    {
      name: "an outdated read of a peer",
      reads: [],
      heartbeats: [heartbeatFrom("b", { storeReadAgeMs: 1 })],
      by: null,
    },
    {
      name: "contact with a majority",
      reads: [],
      heartbeats: [heartbeatFrom("b"), heartbeatFrom("c")],
      by: "majority",
    },
    { name: "contact with a minority", reads: [], heartbeats: [heartbeatFrom("b")], by: null },
    {
      name: "a majority with one higher revision",
      reads: [],
      heartbeats: [heartbeatFrom("b"), heartbeatFrom("c", { revision: 6 })],
      by: null,
    },
    {
      name: "a majority with an unlisted incarnation",
      reads: [],
      heartbeats: [heartbeatFrom("b"), heartbeatFrom("c", { incarnation: "c-2" })],
      by: null,
    },
    {
      name: "a majority whose last read is too old",
      reads: [],
      heartbeats: [
        heartbeatFrom("b", { storeReadAgeMs: 57_501 }),
        heartbeatFrom("c", { storeReadAgeMs: null }),
      ],
      by: null,
    },
  ])("determines the source of freshness for $name: $by", ({ reads, heartbeats, by }) => {
    const freshness = new Freshness(FRESHNESS_RULES);
    freshness.setHeldRevision(5);
    reads.forEach((read) => freshness.recordOwnRead(read));
    heartbeats.forEach((heartbeat) => freshness.recordHeartbeat(heartbeat));
    expect(freshness.source({ ...query, nowMs: 3_500 })).toBe(by);
    expect(freshness.source({ ...query, nowMs: 3_501 })).toBeNull();
    expect(freshness.source({ ...query, nowMs: 3_500, incarnation: "a-2" })).toBeNull();
  });
});

describe("Acceptance", () => {
  it.each([
    {
      name: "a majority that holds a revision below the list's",
      reports: { "b-1": 4 },
      accepted: 0,
    },
    { name: "a majority", reports: { "b-1": 5 }, accepted: 5 },
    { name: "an unlisted incarnation", reports: { "b-2": 5 }, accepted: 0 },
  ])("accepts revision $accepted after reports from $name", ({ reports, accepted }) => {
    const acceptance = new Acceptance(FRESHNESS_RULES);
    Object.entries(reports).forEach(([name, revision]) =>
      acceptance.recordHeldRevision(name, revision)
    );
    acceptance.update({ head: headOf(["a", "b", "c"]), incarnation: "a-1", nowMs: 1 });
    expect(acceptance.acceptedRevision()).toBe(accepted);
  });

  it("accepts a fence published without a majority only after the maximum store outage", () => {
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
