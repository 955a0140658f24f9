/**
 * Owns shards of claims, the deduplication records of idempotency keys: takes over shards and
 * stores new claims with group commit.
 *
 * Each commit is one transaction over all shards with unsaved records. It is a compare-and-swap on
 * the owner record of every shard, so the next write of a replaced owner fails regardless of its
 * clock.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import { OwnedShard } from "./owned_shard.ts";

type ClaimResult = policy.claimShard.ClaimResult;

/** The minimum time between the starts of two commits; bounds the write rate of one entry. */
const MIN_COMMIT_INTERVAL_MS = 40;
/** The delay before a failed commit is retried. */
const RETRY_DELAY_MS = 200;
/** The minimum time between two evictions of expired keys from memory. */
const EVICTION_INTERVAL_MS = 10_000;

/** Options of a {@link ShardOwner}. */
export interface ShardOwnerOptions {
  readonly memberId: string;
  readonly shardCount: number;
  readonly window: policy.claimShard.ClaimWindowOptions;
  readonly store: ports.store.Store;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
}

/** Decides and stores the claims of the shards that this process owns. */
export class ShardOwner {
  readonly #options: ShardOwnerOptions;
  readonly #shards = new Map<number, OwnedShard>();
  readonly #takeovers = new Map<number, Promise<OwnedShard | null>>();
  #lastCommitAtMs = Number.NEGATIVE_INFINITY;
  #lastEvictionAtMs = Number.NEGATIVE_INFINITY;
  #isCommitting = false;
  #cancelTimer: (() => void) | null = null;
  #isStopped = false;

  constructor(options: ShardOwnerOptions) {
    this.#options = options;
  }

  /**
   * Answers a claim, after storing it if a record is needed. Resolves to null if this process
   * cannot own the shard or loses it, or if the same request is already waiting; the claimer then
   * retries.
   */
  async claim(request: schema.peer.ClaimRequest): Promise<ClaimResult | null> {
    const idTimeMs = policy.idempotencyKeys.uuidV7TimeMs(request.idempotencyKey);
    if (idTimeMs === null) {
      return { result: "outsideWindow", status: null };
    }
    const keyDigest = policy.idempotencyKeys.digestOfKey(request.team, request.idempotencyKey);
    const shard = await this.#acquireShard(keyDigest);
    if (shard === null) {
      return null;
    }
    const { requestId, fingerprint } = request;
    return this.#claimInShard(shard, {
      kind: "claimed",
      keyDigest,
      requestId,
      fingerprint,
      idTimeMs,
      claimedAtMs: this.#options.clock.wallMs(),
    });
  }

  /** Records the outcome of a request; the next commit stores it. */
  recordOutcome(outcome: schema.peer.ClaimOutcome): void {
    const idTimeMs = policy.idempotencyKeys.uuidV7TimeMs(outcome.idempotencyKey);
    if (idTimeMs === null) {
      return;
    }
    const keyDigest = policy.idempotencyKeys.digestOfKey(outcome.team, outcome.idempotencyKey);
    const { requestId, status } = outcome;
    void this.#acquireShard(keyDigest).then((shard) => {
      shard?.recordOutcome({
        kind: "ended",
        keyDigest,
        requestId,
        idTimeMs,
        outcome: outcome.outcome,
        status,
      });
      this.#scheduleCommit();
    });
  }

  /** Cancels the commit timer and schedules no more commits. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
  }

  #claimInShard(shard: OwnedShard, claim: schema.claims.Claimed): Promise<ClaimResult | null> {
    const answer = shard.answerIfDecided(claim, this.#options.clock.wallMs());
    if (answer !== null) {
      return Promise.resolve(answer);
    }
    return new Promise((resolve) => {
      shard.enqueue({ claim, resolve });
      this.#scheduleCommit();
    });
  }

  async #acquireShard(keyDigest: string): Promise<OwnedShard | null> {
    const index = policy.idempotencyKeys.shardOfDigest(keyDigest, this.#options.shardCount);
    const owned = this.#shards.get(index);
    if (owned !== undefined) {
      return owned;
    }
    const running = this.#takeovers.get(index);
    if (running !== undefined) {
      return await running;
    }
    const takeover = this.#takeOver(index);
    this.#takeovers.set(index, takeover);
    const shard = await takeover;
    this.#takeovers.delete(index);
    if (shard !== null) {
      this.#shards.set(index, shard);
    }
    return shard;
  }

  /** Writes this process into the owner record, then loads the segments of earlier owners. */
  async #takeOver(index: number): Promise<OwnedShard | null> {
    const ownerRevision = await this.#writeOwnerRecord(index);
    if (ownerRevision === null) {
      return null;
    }
    const stored = await this.#options.store.list(schema.storeKeys.claimSegmentPrefix(index));
    if (stored.isErr()) {
      this.#options.log.warn("Failed to read claim segments", {
        shard: index,
        reason: stored.error.message,
      });
      return null;
    }
    const shard = new OwnedShard({ index, ownerRevision, window: this.#options.window });
    for (const segment of stored.value) {
      if (!this.#loadSegment(shard, segment)) {
        return null;
      }
    }
    this.#options.log.info("Shard taken over", { shard: index, keys: shard.size });
    return shard;
  }

  async #writeOwnerRecord(index: number): Promise<number | null> {
    const { store, memberId, log } = this.#options;
    const key = schema.storeKeys.claimOwnerKey(index);
    const before = await store.get(key);
    if (before.isErr()) {
      log.warn("Failed to read shard owner", { shard: index, reason: before.error.message });
      return null;
    }
    const owner: schema.claims.Owner = { memberId, changeId: randomUUID() };
    const value = JSON.stringify(owner);
    const modRevision = before.value?.modRevision ?? 0;
    const written = await store.transact([{ key, modRevision }], [{ kind: "put", key, value }]);
    if (written.isOk()) {
      return written.value.succeeded ? written.value.storeRevision : null;
    }
    // The write may have succeeded although its answer was lost. The unique change id tells whether
    // the stored record is the one written here.
    const after = await store.get(key);
    return after.isOk() && after.value?.value === value ? after.value.modRevision : null;
  }

  /** Returns false for an invalid segment: without it, its keys could be granted a second time. */
  #loadSegment(shard: OwnedShard, { key, value }: ports.store.StoredValue): boolean {
    const segment = parseSegment(value);
    if (segment === null) {
      this.#options.log.error("Invalid claim segment", { shard: shard.index, key });
      return false;
    }
    shard.loadSegment(key, segment.records);
    return true;
  }

  #scheduleCommit(): void {
    if (this.#cancelTimer !== null || this.#isCommitting || this.#isStopped) {
      return;
    }
    const sinceLastMs = this.#options.clock.nowMs() - this.#lastCommitAtMs;
    this.#scheduleCommitAfter(Math.max(0, MIN_COMMIT_INTERVAL_MS - sinceLastMs));
  }

  #scheduleCommitAfter(delayMs: number): void {
    this.#cancelTimer = this.#options.clock.after(delayMs, () => {
      this.#cancelTimer = null;
      void this.#commit();
    });
  }

  async #commit(): Promise<void> {
    const nowWallMs = this.#options.clock.wallMs();
    this.#evictExpired(nowWallMs);
    const shards = [...this.#shards.values()].filter((shard) => shard.prepareGroup(nowWallMs));
    if (shards.length === 0) {
      return;
    }
    this.#isCommitting = true;
    this.#lastCommitAtMs = this.#options.clock.nowMs();
    const isDone = await this.#writeGroups(shards);
    this.#isCommitting = false;
    if (this.#isStopped) {
      return;
    }
    if (!isDone) {
      this.#scheduleCommitAfter(RETRY_DELAY_MS);
    } else if ([...this.#shards.values()].some((shard) => shard.hasPendingWrites)) {
      this.#scheduleCommit();
    }
  }

  /**
   * Writes the prepared segments. Returns false if the write failed and has to be retried. A retry
   * writes the same keys and values, so it is idempotent even if the first write takes effect late.
   */
  async #writeGroups(shards: readonly OwnedShard[]): Promise<boolean> {
    const compares = shards.map((shard) => shard.ownerCompare());
    const puts = shards.map((shard) => shard.segmentWrite());
    const deletes = this.#expiredSegmentDeletes(shards);
    const outcome = await this.#options.store.transact(compares, [...puts, ...deletes]);
    if (outcome.isErr()) {
      this.#options.log.warn("Failed to commit claims", { reason: outcome.error.message });
      return false;
    }
    if (!outcome.value.succeeded) {
      this.#dropLostShards(shards);
      return true;
    }
    for (const shard of shards) {
      shard.completeGroup();
    }
    return true;
  }

  #expiredSegmentDeletes(shards: readonly OwnedShard[]): ports.store.Write[] {
    const nowWallMs = this.#options.clock.wallMs();
    const keys = shards.flatMap((shard) => shard.removeExpiredSegments(nowWallMs));
    return keys.map((key) => ({ kind: "delete", key }));
  }

  #evictExpired(nowWallMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#lastEvictionAtMs < EVICTION_INTERVAL_MS) {
      return;
    }
    this.#lastEvictionAtMs = nowMs;
    for (const shard of this.#shards.values()) {
      shard.evictExpired(nowWallMs);
    }
  }

  /**
   * Drops all shards of a commit that failed because another process owns at least one of them.
   * Each is taken over again at its next claim.
   */
  #dropLostShards(shards: readonly OwnedShard[]): void {
    for (const shard of shards) {
      this.#options.log.warn("Shard ownership lost", { shard: shard.index });
      this.#shards.delete(shard.index);
      shard.dismissWaiters();
    }
  }
}

function parseSegment(value: string): schema.claims.Segment | null {
  try {
    const parsed = v.safeParse(schema.claims.segmentSchema, JSON.parse(value));
    return parsed.success ? parsed.output : null;
  } catch {
    return null;
  }
}
