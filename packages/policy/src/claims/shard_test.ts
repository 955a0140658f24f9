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
    { name: "a new key", records: [], ask: {}, expected: "store" },
    { name: "the same submission", records: [claimed()], ask: {}, expected: "granted" },
    {
      name: "a running one",
      records: [claimed()],
      ask: { requestId: "second" },
      expected: "running",
    },
    {
      name: "one without an end after a long time",
      records: [claimed({ claimedAtMs: 0 })],
      ask: { requestId: "second" },
      expected: "mayHaveRun",
    },
    {
      name: "an answered one",
      records: [claimed(), ended("answered")],
      ask: { requestId: "second" },
      expected: "answered",
    },
    {
      name: "one of unknown end",
      records: [claimed(), ended("unknown")],
      ask: { requestId: "second" },
      expected: "mayHaveRun",
    },
    {
      name: "one that did not run",
      records: [claimed(), ended("notRun")],
      ask: { requestId: "second" },
      expected: "store",
    },
    {
      name: "one given up before its claim was stored",
      records: [ended("notRun"), claimed()],
      ask: { requestId: "second" },
      expected: "store",
    },
    {
      name: "a late ask of a submission that was given up",
      records: [claimed(), ended("notRun")],
      ask: {},
      expected: "unavailable",
    },
    {
      name: "the end of an earlier submission after the key was claimed anew",
      records: [claimed(), ended("notRun"), claimed({ requestId: "second" }), ended("notRun")],
      ask: { requestId: "third" },
      expected: "running",
    },
    {
      name: "another request under the same key",
      records: [claimed()],
      ask: { requestId: "second", fingerprint: "other" },
      expected: "mismatch",
    },
    {
      name: "a key before the window",
      records: [],
      ask: { idTimeMs: NOW_MS - 10_001 },
      expected: "outsideWindow",
    },
    {
      name: "a key from the future",
      records: [],
      ask: { idTimeMs: NOW_MS + 1_001 },
      expected: "outsideWindow",
    },
  ])("answers $name: $expected", ({ records, ask, expected }) => {
    const shard = new ClaimShard(OPTIONS);
    records.forEach((record) => shard.apply(record));
    const decision = shard.decide(claimed(ask), NOW_MS);
    expect(decision.kind === "store" ? "store" : decision.answer.result).toBe(expected);
  });

  it("forgets a key only when every member would refuse it for its age", () => {
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
