/**
 * What an entry knows of itself, the other members and the configuration in force.
 *
 * @module
 */
import type { config, head } from "@jackdawlink/schema";

/** A head with the configuration that its chunks hold. */
export interface Snapshot {
  readonly head: head.Head;
  readonly config: config.Config;
}

/** Follows the head record. */
export interface SnapshotSource {
  /** The highest revision held; the empty one before the first. */
  current(): Snapshot;
  /** Calls back after each move to a higher revision. */
  onChange(callback: (snapshot: Snapshot) => void): void;
}

/** One process's part in the member list. */
export interface Membership {
  /** Whether this process may act now; cheap, and made in the same turn as the act. */
  isFresh(): boolean;
  readonly memberId: string;
  /** The incarnation under which the process is listed; null while it isn't. */
  incarnation(): string | null;
  /** Calls back when the process has joined or lost its place; permits of the old incarnation are void. */
  onIncarnationChange(callback: (incarnation: string | null) => void): void;
  /** The fences that still make permits count as in use, with this process's time of their acceptance. */
  acceptedFenceAtMs(incarnation: string): number | null;
}

/** The VMs that get nothing new, as of the store revision `modRevision`; zero before the first read. */
export interface DrainingVms {
  readonly modRevision: number;
  readonly vms: ReadonlySet<string>;
}

/** Follows the list of draining VMs. */
export interface DrainingVmSource {
  /** The newest list held. */
  current(): DrainingVms;
  /** Calls back after each move to a newer list. */
  onChange(callback: (draining: DrainingVms) => void): void;
}
