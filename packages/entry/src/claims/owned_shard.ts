/**
 * One shard of claims that this process owns: its stored records, the queue of records to store,
 * and the group that is being written.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

type ClaimResult = policy.claimShard.ClaimResult;

/** A claim that is answered after the next commit. */
export interface Waiter {
  readonly claim: schema.claims.Claimed;
  readonly resolve: (result: ClaimResult | null) => void;
}

/** A group of records that is being written; its key and value stay the same over all retries. */
interface CommitGroup {
  readonly key: string;
  readonly records: readonly schema.claims.ClaimRecord[];
  readonly waiters: readonly Waiter[];
}

/** Options of an {@link OwnedShard}. */
export interface OwnedShardOptions {
  readonly index: number;
  /** The store revision of the owner record that names this process; serves as a fencing token. */
  readonly ownerRevision: number;
  readonly window: policy.claimShard.ClaimWindowOptions;
}

/** Digits of the zero-padded owner revision in a segment key. */
const REVISION_DIGITS = 14;
/** Digits of the zero-padded sequence number in a segment key. */
const SEQUENCE_DIGITS = 9;
/**
 * The maximum number of claims, and of outcomes, in one group. It keeps the groups of all shards
 * within the size of one transaction.
 */
const MAX_GROUP_RECORDS = 200;
/** The maximum number of expired segments of one shard that one commit deletes. */
const MAX_DELETES_PER_GROUP = 4;

/** Decides the claims of one shard and groups its records for the store. */
export class OwnedShard {
  readonly #options: OwnedShardOptions;
  readonly #shard: policy.claimShard.ClaimShard;
  /** The newest idempotency key's time in each stored segment, by segment key. */
  readonly #newestIdTimeMsBySegment = new Map<string, number>();
  #waiters: Waiter[] = [];
  #pendingOutcomes: schema.claims.Ended[] = [];
  #group: CommitGroup | null = null;
  #sequence = 0;

  constructor(options: OwnedShardOptions) {
    this.#options = options;
    this.#shard = new policy.claimShard.ClaimShard(options.window);
  }

  get index(): number {
    return this.#options.index;
  }

  /** The number of idempotency keys in memory. */
  get size(): number {
    return this.#shard.size;
  }

  /** Whether a group is being written or records are queued. */
  get hasPendingWrites(): boolean {
    return this.#group !== null || this.#waiters.length > 0 || this.#pendingOutcomes.length > 0;
  }

  /** Applies the records of a stored segment. */
  loadSegment(key: string, records: readonly schema.claims.ClaimRecord[]): void {
    this.#newestIdTimeMsBySegment.set(key, newestIdTimeMs(records));
    for (const record of records) {
      this.#shard.apply(record);
    }
  }

  /** Returns the answer to a claim, or null if a record must be stored first. */
  answerIfDecided(claim: schema.claims.Claimed, nowWallMs: number): ClaimResult | null {
    const decision = this.#shard.decide(claim, nowWallMs);
    return decision.kind === "answer" ? decision.answer : null;
  }

  /** Evicts the keys that are too old to be claimed again. */
  evictExpired(nowWallMs: number): void {
    this.#shard.forgetExpired(nowWallMs);
  }

  /**
   * Queues a claim for the next group. A retry of a request that already waits resolves to null.
   */
  enqueue(waiter: Waiter): void {
    const requestId = waiter.claim.requestId;
    const waiting = [...this.#waiters, ...(this.#group?.waiters ?? [])];
    if (waiting.some((other) => other.claim.requestId === requestId)) {
      waiter.resolve(null);
      return;
    }
    this.#waiters.push(waiter);
  }

  /** Applies the outcome of a request and queues it for the next group. */
  recordOutcome(record: schema.claims.Ended): void {
    this.#shard.apply(record);
    this.#pendingOutcomes.push(record);
  }

  /** Builds the next group unless one is in flight. Returns false if there is nothing to write. */
  prepareGroup(nowWallMs: number): boolean {
    if (this.#group !== null) {
      return true;
    }
    const waiters = this.#dequeueUndecided(nowWallMs);
    const ended = this.#pendingOutcomes.splice(0, MAX_GROUP_RECORDS);
    if (waiters.length === 0 && ended.length === 0) {
      return false;
    }
    const claimed = distinctClaims(waiters);
    this.#group = { key: this.#nextSegmentKey(), records: [...claimed, ...ended], waiters };
    return true;
  }

  /** The condition of the write: the owner record is unchanged since this process took over. */
  ownerCompare(): ports.store.Compare {
    return {
      key: schema.storeKeys.claimOwnerKey(this.index),
      modRevision: this.#options.ownerRevision,
    };
  }

  /** The write that stores the prepared group. */
  segmentWrite(): ports.store.Write {
    const group = this.#requireGroup();
    return { kind: "put", key: group.key, value: JSON.stringify({ records: group.records }) };
  }

  /** Applies the group after it was stored and answers its claims. */
  completeGroup(): void {
    const group = this.#requireGroup();
    this.#group = null;
    this.loadSegment(group.key, group.records);
    for (const { claim, resolve } of group.waiters) {
      resolve(this.answerIfDecided(claim, claim.claimedAtMs));
    }
  }

  /**
   * Resolves all waiters to null after the shard was lost, so that they retry with the new owner.
   */
  dismissWaiters(): void {
    const waiters = [...(this.#group?.waiters ?? []), ...this.#waiters];
    this.#group = null;
    this.#waiters = [];
    for (const { resolve } of waiters) {
      resolve(null);
    }
  }

  /**
   * Removes up to {@link MAX_DELETES_PER_GROUP} segments in which all keys have expired, and
   * returns their store keys for deletion.
   */
  removeExpiredSegments(nowWallMs: number): string[] {
    const expired: string[] = [];
    // Segments are in commit order, so the oldest come first.
    for (const [key, idTimeMs] of this.#newestIdTimeMsBySegment) {
      const isKept = !policy.claimShard.isExpired(idTimeMs, nowWallMs, this.#options.window);
      if (isKept || expired.length === MAX_DELETES_PER_GROUP) {
        break;
      }
      expired.push(key);
      this.#newestIdTimeMsBySegment.delete(key);
    }
    return expired;
  }

  /**
   * Dequeues waiters, answers those that are decided by now and returns those that need a write.
   */
  #dequeueUndecided(nowWallMs: number): Waiter[] {
    const undecided = this.#waiters.splice(0, MAX_GROUP_RECORDS);
    return undecided.filter((waiter) => {
      const answer = this.answerIfDecided(waiter.claim, nowWallMs);
      if (answer !== null) {
        waiter.resolve(answer);
      }
      return answer === null;
    });
  }

  /** Segment keys sort in commit order: by owner revision, then by the owner's sequence number. */
  #nextSegmentKey(): string {
    this.#sequence += 1;
    const revision = String(this.#options.ownerRevision).padStart(REVISION_DIGITS, "0");
    const sequence = String(this.#sequence).padStart(SEQUENCE_DIGITS, "0");
    return `${schema.storeKeys.claimSegmentPrefix(this.index)}${revision}-${sequence}`;
  }

  #requireGroup(): CommitGroup {
    if (this.#group === null) {
      throw new schema.errors.JackdawlinkError("No claim group was prepared");
    }
    return this.#group;
  }
}

/** The first claim of each idempotency key; once it is stored, it decides the later ones. */
function distinctClaims(waiters: readonly Waiter[]): schema.claims.Claimed[] {
  const claimByDigest = new Map<string, schema.claims.Claimed>();
  for (const { claim } of waiters) {
    if (!claimByDigest.has(claim.keyDigest)) {
      claimByDigest.set(claim.keyDigest, claim);
    }
  }
  return [...claimByDigest.values()];
}

function newestIdTimeMs(records: readonly schema.claims.ClaimRecord[]): number {
  return Math.max(0, ...records.map((record) => record.idTimeMs));
}
