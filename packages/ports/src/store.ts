/**
 * The platform store: a small key-value service with compare-and-swap, leases and watches.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { errors } from "@jackdawlink/schema";

/** One stored value. `modRevision` is the store's own revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A condition of a transaction: the key's `modRevision`, zero for a key that does not exist. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of a transaction. A put with a lease vanishes with the lease. */
export type Write =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
  }
  | { readonly kind: "delete"; readonly key: string };

/** Limits a read to values that were changed at or after a store revision. */
export interface GetOptions {
  readonly minModRevision?: number;
}

/** The values below a prefix that a limited read found. */
export interface ListedChanges {
  readonly values: readonly StoredValue[];
  /** How many keys there are below the prefix, unchanged ones included; tells of deletions. */
  readonly keyCount: number;
  /** The store's revision at the read. */
  readonly storeRevision: number;
}

/** Whether the conditions of a transaction held, and the store's revision after it. */
export interface TransactionOutcome {
  readonly succeeded: boolean;
  readonly storeRevision: number;
}

/**
 * Every call fails with `StoreUnavailableError` when the store is out, slow beyond the time-out, or
 * over the process's own budget of calls. A failed write may have taken effect; callers put a unique id
 * in the value and read again.
 */
export interface Store {
  /**
   * The value, or null; with `minModRevision` also null where the key has not changed since. A store that
   * has gone back behind that revision, such as one restored from a copy, is read in full.
   */
  get(
    key: string,
    options?: GetOptions,
  ): ResultAsync<StoredValue | null, errors.JackdawlinkError>;
  /** All values below a prefix, in the order of their keys. */
  list(prefix: string): ResultAsync<readonly StoredValue[], errors.JackdawlinkError>;
  /** The values below a prefix that were changed at or after `minModRevision`; zero means all. */
  listChanges(
    prefix: string,
    minModRevision: number,
  ): ResultAsync<ListedChanges, errors.JackdawlinkError>;
  transact(
    compares: readonly Compare[],
    writes: readonly Write[],
  ): ResultAsync<TransactionOutcome, errors.JackdawlinkError>;
  grantLease(ttlSeconds: number): ResultAsync<string, errors.JackdawlinkError>;
  /** True while the lease runs; false once it has lapsed. */
  keepLeaseAlive(leaseId: string): ResultAsync<boolean, errors.JackdawlinkError>;
  revokeLease(leaseId: string): ResultAsync<void, errors.JackdawlinkError>;
  /** Calls back at each change below a prefix; a hint only, changes may be missed. Returns a stop. */
  watch(prefix: string, onChange: () => void): () => void;
}
