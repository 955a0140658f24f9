/**
 * One shard of claims that this process owns: what is stored, what waits to be stored, and what is
 * being written.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

type ClaimResult = policy.claimShard.ClaimResult;

/** A claim whose answer waits for a commit. */
export interface Waiter {
  readonly claim: schema.claims.Claimed;
  readonly resolve: (result: ClaimResult | null) => void;
}

/** A group that is being written; key and value stay the same over all tries. */
interface CommitGroup {
  readonly key: string;
  readonly records: readonly schema.claims.ClaimRecord[];
  readonly waiters: readonly Waiter[];
}

/** What an owned shard is built from. */
export interface OwnedShardOptions {
  readonly index: number;
  /** The store's revision of the owner record that names this process. */
  readonly ownerRevision: number;
  readonly window: policy.claimShard.ClaimWindowOptions;
}

/** The digits of a store revision in the key of a segment. */
const REVISION_DIGITS = 14;
/** The digits of a sequence number in the key of a segment. */
const SEQUENCE_DIGITS = 9;
/** Claims, and ends, of one group; the groups of all shards fit one transaction. */
const MAX_GROUP_RECORDS = 200;
/** Expired segments of one shard deleted with one commit. */
const MAX_DELETES_PER_GROUP = 4;

/** One shard that this process owns. */
export class OwnedShard {
  readonly #options: OwnedShardOptions;
  readonly #shard: policy.claimShard.ClaimShard;
  /** The latest time of an id in each stored segment. */
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

  /** The number of keys held. */
  get size(): number {
    return this.#shard.size;
  }

  /** Whether something waits to be stored. */
  get hasPendingWrites(): boolean {
    return this.#group !== null || this.#waiters.length > 0 || this.#pendingOutcomes.length > 0;
  }

  /** Takes over a stored segment. */
  loadSegment(key: string, records: readonly schema.claims.ClaimRecord[]): void {
    this.#newestIdTimeMsBySegment.set(key, newestIdTimeMs(records));
    for (const record of records) {
      this.#shard.apply(record);
    }
  }

  /** The answer that needs no write; null where a record must be stored first. */
  answerIfDecided(claim: schema.claims.Claimed, nowWallMs: number): ClaimResult | null {
    const decision = this.#shard.decide(claim, nowWallMs);
    return decision.kind === "answer" ? decision.answer : null;
  }

  /** Forgets keys that can't be claimed again. */
  evictExpired(nowWallMs: number): void {
    this.#shard.forgetExpired(nowWallMs);
  }

  /** Adds a claim to the next group, unless the same submission already waits and only asks again. */
  enqueue(waiter: Waiter): void {
    const requestId = waiter.claim.requestId;
    const waiting = [...this.#waiters, ...(this.#group?.waiters ?? [])];
    if (waiting.some((other) => other.claim.requestId === requestId)) {
      waiter.resolve(null);
      return;
    }
    this.#waiters.push(waiter);
  }

  /** Takes over how a submission ended, and stores it with the next group. */
  recordOutcome(record: schema.claims.Ended): void {
    this.#shard.apply(record);
    this.#pendingOutcomes.push(record);
  }

  /** Makes the next group if none is under way; false where there is nothing to write. */
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

  /** The condition under which the group may be written. */
  ownerCompare(): ports.store.Compare {
    return {
      key: schema.storeKeys.claimOwnerKey(this.index),
      modRevision: this.#options.ownerRevision,
    };
  }

  /** The write of the prepared group. */
  segmentWrite(): ports.store.Write {
    const group = this.#requireGroup();
    return { kind: "put", key: group.key, value: JSON.stringify({ records: group.records }) };
  }

  /** The group is stored: its claims are granted. */
  completeGroup(): void {
    const group = this.#requireGroup();
    this.#group = null;
    this.loadSegment(group.key, group.records);
    for (const { claim, resolve } of group.waiters) {
      resolve(this.answerIfDecided(claim, claim.claimedAtMs));
    }
  }

  /** Another process owns the shard: whoever waits has to ask again. */
  dismissWaiters(): void {
    const waiters = [...(this.#group?.waiters ?? []), ...this.#waiters];
    this.#group = null;
    this.#waiters = [];
    for (const { resolve } of waiters) {
      resolve(null);
    }
  }

  /** Some stored segments that hold only keys which are refused for their age; forgets them. */
  removeExpiredSegments(nowWallMs: number): string[] {
    const expired: string[] = [];
    // Segments were added in the order of commits, so that the oldest come first.
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

  /** Answers those whose key was claimed or freed meanwhile; returns those that need a write. */
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

  /** Keys sort in the order of commits: by owner, and each owner commits one group after the other. */
  #nextSegmentKey(): string {
    this.#sequence += 1;
    const revision = String(this.#options.ownerRevision).padStart(REVISION_DIGITS, "0");
    const sequence = String(this.#sequence).padStart(SEQUENCE_DIGITS, "0");
    return `${schema.storeKeys.claimSegmentPrefix(this.index)}${revision}-${sequence}`;
  }

  #requireGroup(): CommitGroup {
    if (this.#group === null) {
      throw new schema.errors.JackdawlinkError("No group of claims was prepared");
    }
    return this.#group;
  }
}

/** The first claim of each key; later ones are answered from it once it is stored. */
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
