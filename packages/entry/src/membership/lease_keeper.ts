/**
 * Keeps the store lease of this process alive. A key under the lease names the process's
 * incarnation.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** Options of a {@link LeaseKeeper}. */
export interface LeaseKeeperOptions {
  readonly memberId: string;
  readonly store: ports.store.Store;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly leaseSeconds: number;
}

/** The number of keep-alives per lease duration. */
const KEEP_ALIVES_PER_LEASE = 3;
const MS_PER_SECOND = 1_000;

/**
 * Maintains one lease, and requests a new one after it has expired or the incarnation has changed.
 */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  #incarnation: string | null = null;
  #leaseId: string | null = null;
  #cancelTimer: () => void = () => {};

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /**
   * Whether the incarnation's key is stored under a lease that was valid at the last keep-alive.
   */
  isHeld(incarnation: string): boolean {
    return this.#leaseId !== null && this.#incarnation === incarnation;
  }

  /**
   * Acquires a lease for an incarnation and keeps it alive; the lease of an earlier one expires.
   */
  acquireFor(incarnation: string): void {
    this.#incarnation = incarnation;
    this.#leaseId = null;
    this.#cancelTimer();
    void this.#renew();
  }

  /** Revokes the lease, which deletes its key. */
  async stop(): Promise<void> {
    const leaseId = this.#leaseId;
    this.#cancelTimer();
    this.#incarnation = null;
    this.#leaseId = null;
    if (leaseId !== null) {
      await this.#options.store.revokeLease(leaseId);
    }
  }

  async #renew(): Promise<void> {
    const incarnation = this.#incarnation;
    if (incarnation === null) {
      return;
    }
    await (this.#leaseId === null ? this.#grant(incarnation) : this.#keepAlive(this.#leaseId));
    if (this.#incarnation === incarnation) {
      const intervalMs = this.#options.leaseSeconds * MS_PER_SECOND / KEEP_ALIVES_PER_LEASE;
      this.#cancelTimer();
      this.#cancelTimer = this.#options.clock.after(intervalMs, () => void this.#renew());
    }
  }

  async #grant(incarnation: string): Promise<void> {
    const { store, leaseSeconds, memberId, log } = this.#options;
    const key = schema.storeKeys.aliveKey(memberId, incarnation);
    const granted = await store.grantLease(leaseSeconds);
    if (granted.isErr()) {
      log.warn("Failed to acquire lease", { incarnation, reason: granted.error.message });
      return;
    }
    const leaseId = granted.value;
    const write = { kind: "put", key, value: incarnation, leaseId } as const;
    const written = await store.transact([], [write]);
    if (written.isOk() && this.#incarnation === incarnation) {
      this.#leaseId = leaseId;
      log.info("Lease acquired", { incarnation, leaseSeconds });
    }
  }

  async #keepAlive(leaseId: string): Promise<void> {
    const kept = await this.#options.store.keepLeaseAlive(leaseId);
    if (kept.isOk() && !kept.value && this.#leaseId === leaseId) {
      this.#options.log.warn("Lease expired", { incarnation: this.#incarnation });
      this.#leaseId = null;
      await this.#grant(this.#incarnation ?? "");
    }
  }
}
