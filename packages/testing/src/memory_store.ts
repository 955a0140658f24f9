/**
 * The platform store in memory, with outages and answers lost after effect, for tests in one process.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

type StoreResult<T> = ResultAsync<T, schema.errors.JackdawlinkError>;

/** What the next calls meet. */
export interface StoreFaults {
  out: boolean;
  /** Decides for each write whether its answer is lost after it took effect. */
  losesAnswer: () => boolean;
}

/** A store in memory; leases never lapse by themselves. */
export class MemoryStore implements ports.store.Store {
  readonly faults: StoreFaults = { out: false, losesAnswer: () => false };
  readonly #values = new Map<string, ports.store.StoredValue & { leaseId?: string }>();
  readonly #watchers = new Set<{ prefix: string; onChange: () => void }>();
  readonly calls = { reads: 0, writes: 0 };
  #revision = 0;
  #leases = 0;

  get(key: string): StoreResult<ports.store.StoredValue | null> {
    this.calls.reads += 1;
    return this.faults.out ? unavailable() : okAsync(this.#values.get(key) ?? null);
  }

  list(prefix: string): StoreResult<readonly ports.store.StoredValue[]> {
    this.calls.reads += 1;
    if (this.faults.out) {
      return unavailable();
    }
    const found = [...this.#values.values()].filter(({ key }) => key.startsWith(prefix));
    return okAsync(found.sort((left, right) => left.key < right.key ? -1 : 1));
  }

  transact(
    compares: readonly ports.store.Compare[],
    writes: readonly ports.store.Write[],
  ): StoreResult<ports.store.TransactionOutcome> {
    this.calls.writes += 1;
    if (this.faults.out) {
      return unavailable();
    }
    const succeeded = compares.every(({ key, modRevision }) =>
      (this.#values.get(key)?.modRevision ?? 0) === modRevision
    );
    if (succeeded) {
      this.#write(writes);
    }
    return this.faults.losesAnswer()
      ? unavailable()
      : okAsync({ succeeded, storeRevision: this.#revision });
  }

  grantLease(): StoreResult<string> {
    this.#leases += 1;
    return this.faults.out ? unavailable() : okAsync(String(this.#leases));
  }

  keepLeaseAlive(): StoreResult<boolean> {
    return this.faults.out ? unavailable() : okAsync(true);
  }

  revokeLease(leaseId: string): StoreResult<void> {
    const keys = [...this.#values.values()].filter((value) => value.leaseId === leaseId);
    this.#write(keys.map(({ key }) => ({ kind: "delete", key })));
    return okAsync(undefined);
  }

  watch(prefix: string, onChange: () => void): () => void {
    const watcher = { prefix, onChange };
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  #write(writes: readonly ports.store.Write[]): void {
    this.#revision += 1;
    for (const write of writes) {
      if (write.kind === "delete") {
        this.#values.delete(write.key);
      } else {
        const { key, value, leaseId } = write;
        this.#values.set(key, { key, value, modRevision: this.#revision, leaseId });
      }
      this.#notify(write.key);
    }
  }

  #notify(changedKey: string): void {
    for (const { prefix, onChange } of this.#watchers) {
      if (changedKey.startsWith(prefix)) {
        queueMicrotask(onChange);
      }
    }
  }
}

function unavailable<T>(): StoreResult<T> {
  return errAsync(new schema.errors.StoreUnavailableError("The store does not answer"));
}
