/**
 * Membership of an entry, the current configuration, and the list of draining VMs.
 *
 * @module
 */
import type { config, head } from "@jackdawlink/schema";

/** A head record together with the configuration that it references. */
export interface Snapshot {
  readonly head: head.Head;
  readonly config: config.Config;
}

/** Tracks the head record. */
export interface SnapshotSource {
  /** The snapshot with the highest loaded revision; the empty head before the first. */
  current(): Snapshot;
  /** Calls `callback` after each change to a higher revision. */
  onChange(callback: (snapshot: Snapshot) => void): void;
}

/** The membership of this process. */
export interface Membership {
  /**
   * Whether this process is up to date within the staleness bound, and so allowed to act. It is
   * cheap; call it in the same event loop turn as the action that it guards.
   */
  isFresh(): boolean;
  readonly memberId: string;
  /** The incarnation of this process in the member list; null while it is not listed. */
  incarnation(): string | null;
  /**
   * Calls `callback` when the process has joined or has lost its membership. Permits of the
   * previous incarnation are void.
   */
  onIncarnationChange(callback: (incarnation: string | null) => void): void;
  /**
   * When this process accepted the fence of an incarnation, on the steady reading of its clock; null if
   * it accepted none. The permits of a fenced incarnation count as in use for a while from then on.
   */
  acceptedFenceAtMs(incarnation: string): number | null;
}

/**
 * The draining VMs as of the store revision `modRevision`, which is zero before the first read.
 * They receive no new requests.
 */
export interface DrainingVms {
  readonly modRevision: number;
  readonly vms: ReadonlySet<string>;
}

/** Tracks the list of draining VMs. */
export interface DrainingVmSource {
  /** The newest known list. */
  current(): DrainingVms;
  /** Calls `callback` after each change to a newer list. */
  onChange(callback: (draining: DrainingVms) => void): void;
}
