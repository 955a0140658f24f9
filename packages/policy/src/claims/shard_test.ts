import { describe, expect, it } from "vitest";
import type * as schema from "@jackdawlink/schema";
import * as idempotencyKeys from "./idempotency_keys.ts";
import { ClaimShard } from "./shard.ts";

const OPTIONS = { windowMs: 10_000, clockSkewMs: 1_000 };
const NOW_MS = 100_000;

function claimed(overrides: Partial<schema.claims.Claimed> = {}): schema.claims.Claimed {
  return {
    kind: "claimed",
    keyDigest: "key",
    requestId: "first",
    fingerprint: "body",
    idTimeMs: NOW_MS,
    claimedAtMs: NOW_MS,
    ...overrides,
  };
}

function ended(outcome: schema.claims.Ended["outcome"]): schema.claims.Ended {
  const status = outcome === "answered" ? 200 : null;
  return { kind: "ended", keyDigest: "key", requestId: "first", idTimeMs: NOW_MS, outcome, status };
}

describe("ClaimShard", () => {
  it.each([
    { name: "a new key", records: [], overrides: {}, expected: "store" },
    {
      name: "a repeated claim of the same submission",
      records: [claimed()],
      overrides: {},
      expected: "granted",
    },
    {
      name: "a key whose submission is running",
      records: [claimed()],
      overrides: { requestId: "second" },
      expected: "running",
    },
    {
      name: "a key whose submission has no outcome after a long time",
      records: [claimed({ claimedAtMs: 0 })],
      overrides: { requestId: "second" },
      expected: "mayHaveRun",
    },
    {
      name: "a key whose submission was answered",
      records: [claimed(), ended("answered")],
      overrides: { requestId: "second" },
      expected: "answered",
    },
    {
      name: "a key whose submission has an unknown outcome",
      records: [claimed(), ended("unknown")],
      overrides: { requestId: "second" },
      expected: "mayHaveRun",
    },
    {
      name: "a key whose submission did not run",
      records: [claimed(), ended("notRun")],
      overrides: { requestId: "second" },
      expected: "store",
    },
    {
      name: "a key whose submission ended without running before its claim was stored",
      records: [ended("notRun"), claimed()],
      overrides: { requestId: "second" },
      expected: "store",
    },
    {
      name: "a late claim of a submission that ended without running",
      records: [claimed(), ended("notRun")],
      overrides: {},
      expected: "unavailable",
    },
    {
      name: "a key claimed again, whose first submission reports its end twice",
      records: [claimed(), ended("notRun"), claimed({ requestId: "second" }), ended("notRun")],
      overrides: { requestId: "third" },
      expected: "running",
    },
    {
      name: "a different request with the same key",
      records: [claimed()],
      overrides: { requestId: "second", fingerprint: "other" },
      expected: "mismatch",
    },
    {
      name: "a key older than the window",
      records: [],
      overrides: { idTimeMs: NOW_MS - 10_001 },
      expected: "outsideWindow",
    },
    {
      name: "a key further in the future than the clock skew",
      records: [],
      overrides: { idTimeMs: NOW_MS + 1_001 },
      expected: "outsideWindow",
    },
  ])("decides on $name: $expected", ({ records, overrides, expected }) => {
    const shard = new ClaimShard(OPTIONS);
    records.forEach((record) => shard.apply(record));
    const decision = shard.decide(claimed(overrides), NOW_MS);
    expect(decision.kind === "store" ? "store" : decision.answer.result).toBe(expected);
  });

  it("removes a key only once every member would refuse it as too old", () => {
    const shard = new ClaimShard(OPTIONS);
    shard.apply(claimed());
    shard.forgetExpired(NOW_MS + OPTIONS.windowMs + 2 * OPTIONS.clockSkewMs);
    expect(shard.size).toBe(1);
    shard.forgetExpired(NOW_MS + OPTIONS.windowMs + 2 * OPTIONS.clockSkewMs + 1);
    expect(shard.size).toBe(0);
  });
});

describe("uuidV7TimeMs", () => {
  it.each([
    { id: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", timeMs: 0x017f22e279b0 },
    { id: "9c5b94b1-35ad-49bb-b118-8e8fc24abf80", timeMs: null },
    { id: "not-an-id", timeMs: null },
  ])("reads $id as $timeMs", ({ id, timeMs }) => {
    expect(idempotencyKeys.uuidV7TimeMs(id)).toBe(timeMs);
  });
});
