/**
 * The platform store: a key-value store with compare-and-swap transactions, leases and watches.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { errors } from "@jackdawlink/schema";

/** A stored value. `modRevision` is the store revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A transaction condition: the key has this `modRevision`; zero means that it does not exist. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of a transaction. A key that is put with a lease is deleted when the lease ends. */
export type Write =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
  }
  | { readonly kind: "delete"; readonly key: string };

/** Restricts a read to values changed at or after a store revision. */
export interface GetOptions {
  readonly minModRevision?: number;
}

/** The result of a read restricted to recent changes below a prefix. */
export interface ListedChanges {
  readonly values: readonly StoredValue[];
  /** The number of keys below the prefix, including unchanged ones; reveals deletions. */
  readonly keyCount: number;
  /** The store revision at the time of the read. */
  readonly storeRevision: number;
}

/** Whether the conditions of a transaction held, and the store revision after it. */
export interface TransactionOutcome {
  readonly succeeded: boolean;
  readonly storeRevision: number;
}

/**
 * The client of the platform store. Calls fail with `StoreUnavailableError` when the store is
 * unavailable, does not respond within the timeout, or the process exceeds its own rate limit. A
 * failed write may have taken effect; callers put a unique id into the value and re-read it to find
 * out.
 */
export interface Store {
  /**
   * Returns the value or null. With `minModRevision` it also returns null if the key has not
   * changed since that revision. If the store has gone back behind the revision, for example after
   * a restore from a backup, the condition is ignored.
   */
  get(
    key: string,
    options?: GetOptions,
  ): ResultAsync<StoredValue | null, errors.JackdawlinkError>;
  /** Returns all values below a prefix, sorted by key. */
  list(prefix: string): ResultAsync<readonly StoredValue[], errors.JackdawlinkError>;
  /** Returns the values below a prefix changed at or after `minModRevision`; zero means all. */
  listChanges(
    prefix: string,
    minModRevision: number,
  ): ResultAsync<ListedChanges, errors.JackdawlinkError>;
  /** Applies the writes atomically if all conditions hold. */
  transact(
    compares: readonly Compare[],
    writes: readonly Write[],
  ): ResultAsync<TransactionOutcome, errors.JackdawlinkError>;
  /** Creates a lease and returns its id. */
  grantLease(ttlSeconds: number): ResultAsync<string, errors.JackdawlinkError>;
  /** Renews a lease; false if it has expired. */
  keepLeaseAlive(leaseId: string): ResultAsync<boolean, errors.JackdawlinkError>;
  revokeLease(leaseId: string): ResultAsync<void, errors.JackdawlinkError>;
  /**
   * Calls `onChange` at changes below a prefix, best effort: changes may be missed. Returns a
   * function that stops the watch.
   */
  watch(prefix: string, onChange: () => void): () => void;
}
