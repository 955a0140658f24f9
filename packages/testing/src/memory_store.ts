/**
 * A platform store inside the process, with faults, for tests of decisions over the store port.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";

/** What befalls the next calls. */
export type StoreFault = "none" | "out" | "answerLost";

interface Stored extends ports.store.StoredValue {
  readonly leaseId?: string;
}

type Failable<TValue> = ResultAsync<TValue, schema.errors.JackdawlinkError>;

/** Implements the store port in memory. Leases lapse only by {@link MemoryStore.lapseLease}. */
export class MemoryStore implements ports.store.Store {
  readonly #values = new Map<string, Stored>();
  readonly #watchers = new Set<{ prefix: string; onChange: () => void }>();
  readonly #leases = new Set<string>();
  #revision = 0;
  #leaseCount = 0;
  /** Decides the fault of each call. */
  faultOf: () => StoreFault = () => "none";
  /** The calls so far, by kind. */
  readonly callCounts = { get: 0, list: 0, transact: 0, lease: 0 };

  get(key: string): Failable<ports.store.StoredValue | null> {
    this.callCounts.get += 1;
    return this.#answer(() => this.#values.get(key) ?? null);
  }

  list(prefix: string): Failable<readonly ports.store.StoredValue[]> {
    this.callCounts.list += 1;
    return this.#answer(() =>
      [...this.#values.values()]
        .filter((stored) => stored.key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1))
    );
  }

  transact(
    compares: readonly ports.store.Compare[],
    writes: readonly ports.store.Write[],
  ): Failable<ports.store.TransactionOutcome> {
    this.callCounts.transact += 1;
    return this.#answer(() => this.#transact(compares, writes));
  }

  grantLease(): Failable<string> {
    this.callCounts.lease += 1;
    return this.#answer(() => {
      this.#leaseCount += 1;
      const leaseId = `lease-${this.#leaseCount}`;
      this.#leases.add(leaseId);
      return leaseId;
    });
  }

  keepLeaseAlive(leaseId: string): Failable<boolean> {
    this.callCounts.lease += 1;
    return this.#answer(() => this.#leases.has(leaseId));
  }

  revokeLease(leaseId: string): Failable<void> {
    this.callCounts.lease += 1;
    return this.#answer(() => this.lapseLease(leaseId));
  }

  watch(prefix: string, onChange: () => void): () => void {
    const watcher = { prefix, onChange };
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends a lease, and with it the values put under it. */
  lapseLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    for (const stored of [...this.#values.values()]) {
      if (stored.leaseId === leaseId) {
        this.#write({ kind: "delete", key: stored.key });
      }
    }
  }

  #transact(
    compares: readonly ports.store.Compare[],
    writes: readonly ports.store.Write[],
  ): ports.store.TransactionOutcome {
    const succeeded = compares.every(({ key, modRevision }) =>
      (this.#values.get(key)?.modRevision ?? 0) === modRevision
    );
    if (succeeded && writes.length > 0) {
      this.#revision += 1;
      writes.forEach((write) => this.#write(write));
    }
    return { succeeded, storeRevision: this.#revision };
  }

  #write(write: ports.store.Write): void {
    if (write.kind === "put") {
      const { key, value, leaseId } = write;
      this.#values.set(key, { key, value, leaseId, modRevision: this.#revision });
    } else {
      this.#values.delete(write.key);
    }
    for (const { prefix, onChange } of this.#watchers) {
      if (write.key.startsWith(prefix)) {
        queueMicrotask(onChange);
      }
    }
  }

  #answer<TValue>(effect: () => TValue): Failable<TValue> {
    const fault = this.faultOf();
    if (fault === "out") {
      return errAsync(new schema.errors.StoreUnavailableError("The store is out"));
    }
    const value = effect();
    if (fault === "answerLost") {
      return errAsync(new schema.errors.StoreUnavailableError("The store's answer was lost"));
    }
    return okAsync(value);
  }
}
