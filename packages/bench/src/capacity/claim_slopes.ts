/**
 * Measures what claims (deduplication records of idempotency keys) cost the owner of their shard.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { measureCpuMs } from "./cpu_time.ts";
import { measureHeapBytes } from "./heap_usage.ts";
import type { Slope } from "./slope.ts";

const CLAIM_COUNTS = [1_000, 10_000, 100_000];
/** 500 requests with idempotency keys per second, spread over 16 shards and retained for 600 s. */
const PLANNED_CLAIMS = 18_750;
const WINDOW = { windowMs: 600_000, clockSkewMs: 5_000 };
const NOW_MS = 1_800_000_000_000;
const US_PER_MS = 1_000;

/** Measures all figures at each number of retained claims. */
export function run(): Promise<readonly Slope[]> {
  const figures: Readonly<Record<string, (claims: number) => number>> = {
    "heap of one shard, bytes": (claims) => measureHeapBytes(() => buildShard(claims)),
    "stored records of one shard, bytes": storedBytes,
    "decision on one claim, µs": measureDecisionUs,
    "forgetting pass, ms": (claims) => {
      const shard = buildShard(claims);
      return measureCpuMs(() => shard.forgetExpired(NOW_MS));
    },
  };
  return Promise.resolve(
    Object.entries(figures).map(([figure, measure]) => ({
      figure,
      size: "kept keys of one shard",
      points: CLAIM_COUNTS.map((claims) => ({ x: claims, y: measure(claims) })),
      plannedSize: PLANNED_CLAIMS,
    })),
  );
}

function buildShard(claims: number): policy.claimShard.ClaimShard {
  const shard = new policy.claimShard.ClaimShard(WINDOW);
  for (let index = 0; index < claims; index += 1) {
    shard.apply(claimOf(index));
    shard.apply(endOf(index));
  }
  return shard;
}

function claimOf(index: number): schema.claims.Claimed {
  return {
    kind: "claimed",
    keyDigest: policy.idempotencyKeys.digestOfKey("team-1", String(index)),
    requestId: `00000000-0000-7000-8000-${String(index).padStart(12, "0")}`,
    fingerprint: policy.idempotencyKeys.digestOfKey("body", String(index)),
    idTimeMs: NOW_MS,
    claimedAtMs: NOW_MS,
  };
}

function endOf(index: number): schema.claims.Ended {
  const { keyDigest, requestId, idTimeMs } = claimOf(index);
  return { kind: "ended", keyDigest, requestId, idTimeMs, outcome: "answered", status: 200 };
}

function storedBytes(claims: number): number {
  let bytes = 0;
  for (let index = 0; index < claims; index += 1) {
    bytes += JSON.stringify(claimOf(index)).length + JSON.stringify(endOf(index)).length + 2;
  }
  return bytes;
}

function measureDecisionUs(claims: number): number {
  const shard = buildShard(claims);
  const newClaim = claimOf(claims);
  return measureCpuMs(() => shard.decide(newClaim, NOW_MS)) * US_PER_MS;
}
