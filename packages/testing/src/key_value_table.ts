/**
 * The state of the stand-in's key-value service: keys with revisions, and leases.
 *
 * @module
 */

/** One stored key with the revisions that etcd keeps for it. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly leaseId: string;
}

/** A change of a key, as sent to watches. */
export interface KeyEvent {
  readonly kind: "put" | "delete";
  readonly keyValue: KeyValue;
}

/** A half-open range of keys. An empty `end` means the single key; NUL means all keys from `key` on. */
export interface KeyRange {
  readonly key: string;
  readonly end: string;
}

interface Lease {
  readonly ttlSeconds: number;
  expiresAtMs: number;
}

/** Etcd's notation for a range without an upper bound. */
const UNBOUNDED_END = "\0";
const MS_PER_SECOND = 1_000;

/** Whether a key lies in a range. */
export function isInRange(key: string, range: KeyRange): boolean {
  if (range.end === "") return key === range.key;
  return key >= range.key && (range.end === UNBOUNDED_END || key < range.end);
}

/** Keys, leases and the revision counter. Writes in one {@link KeyValueTable.commit} share a revision. */
export class KeyValueTable {
  readonly #nowMs: () => number;
  readonly #keys = new Map<string, KeyValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<(events: readonly KeyEvent[]) => void>();
  #pending: KeyEvent[] = [];
  #revision = 1;
  #lastLeaseNumber = 7_000;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  get revision(): number {
    return this.#revision;
  }

  get(key: string): KeyValue | undefined {
    return this.#keys.get(key);
  }

  /** The keys of a range in ascending order. */
  range(range: KeyRange): readonly KeyValue[] {
    if (range.end === "") {
      const keyValue = this.#keys.get(range.key);
      return keyValue === undefined ? [] : [keyValue];
    }
    const found = [...this.#keys.values()].filter((keyValue) => isInRange(keyValue.key, range));
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Runs writes under one revision and then notifies the listeners. */
  commit<TOutcome>(body: () => TOutcome): TOutcome {
    const outcome = body();
    if (this.#pending.length === 0) return outcome;
    this.#revision += 1;
    const events = this.#pending;
    this.#pending = [];
    for (const listener of this.#listeners) listener(events);
    return outcome;
  }

  /** Writes a key; only inside {@link KeyValueTable.commit}. */
  put(key: string, value: string, { leaseId }: { leaseId: string }): void {
    const old = this.#keys.get(key);
    const modRevision = this.#revision + 1;
    const keyValue = {
      key,
      value,
      createRevision: old?.createRevision ?? modRevision,
      modRevision,
      version: (old?.version ?? 0) + 1,
      leaseId,
    };
    this.#keys.set(key, keyValue);
    this.#pending.push({ kind: "put", keyValue });
  }

  /** Deletes a range and returns how many keys it held; only inside {@link KeyValueTable.commit}. */
  deleteRange(range: KeyRange): number {
    const found = this.range(range);
    for (const keyValue of found) {
      this.#keys.delete(keyValue.key);
      const gone = { ...keyValue, value: "", modRevision: this.#revision + 1 };
      this.#pending.push({ kind: "delete", keyValue: gone });
    }
    return found.length;
  }

  /** Registers a listener for the events of each commit; returns a function that removes it. */
  onEvents(listener: (events: readonly KeyEvent[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  hasLease(leaseId: string): boolean {
    return this.#leases.has(leaseId);
  }

  grantLease(ttlSeconds: number): string {
    this.#lastLeaseNumber += 1;
    const leaseId = String(this.#lastLeaseNumber);
    const expiresAtMs = this.#nowMs() + ttlSeconds * MS_PER_SECOND;
    this.#leases.set(leaseId, { ttlSeconds, expiresAtMs });
    return leaseId;
  }

  /** Renews a lease and returns its time to live in seconds; zero if the lease has expired. */
  keepAlive(leaseId: string): number {
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) return 0;
    lease.expiresAtMs = this.#nowMs() + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Deletes a lease and its keys; returns false for an unknown lease. */
  revokeLease(leaseId: string): boolean {
    if (!this.#leases.delete(leaseId)) return false;
    this.commit(() => {
      const attached = [...this.#keys.values()].filter((keyValue) => keyValue.leaseId === leaseId);
      for (const { key } of attached) this.deleteRange({ key, end: "" });
    });
    return true;
  }

  /** Revokes the leases that have expired. */
  expireLeases(): void {
    const nowMs = this.#nowMs();
    const expired = [...this.#leases].filter(([, lease]) => lease.expiresAtMs <= nowMs);
    for (const [leaseId] of expired) this.revokeLease(leaseId);
  }
}
