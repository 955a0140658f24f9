/**
 * The list of live stewards: each steward keeps a key in the store under a lease.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** How often the lease is renewed and the list is read within one lease duration. */
const RENEWALS_PER_LEASE = 3;

/** Dependencies and settings of a `StewardMembership`. */
export interface StewardMembershipOptions {
  readonly store: ports.store.Store;
  readonly clock: ports.clock.Clock;
  readonly stewardId: string;
  readonly leaseSeconds: number;
}

/** Keeps this steward's key alive and lists the live stewards. */
export class StewardMembership {
  readonly #options: StewardMembershipOptions;
  #leaseId: string | undefined;
  #renewedAtMs = Number.NEGATIVE_INFINITY;
  #stewards: readonly string[] = [];

  constructor(options: StewardMembershipOptions) {
    this.#options = options;
  }

  /** The stewards that were live at the last read. */
  get stewards(): readonly string[] {
    return this.#stewards;
  }

  /** Renews the lease and reads the list if they are due; otherwise does nothing. */
  async refresh(): Promise<Result<void, schema.errors.JackdawlinkError>> {
    const { clock, store, leaseSeconds } = this.#options;
    if (clock.nowMs() - this.#renewedAtMs < (leaseSeconds * 1_000) / RENEWALS_PER_LEASE) {
      return ok(undefined);
    }
    const renewed = await this.#renew();
    if (renewed.isErr()) {
      return err(renewed.error);
    }
    const values = await store.list(schema.storeKeys.STEWARD_PREFIX);
    return values.map((list) => {
      const prefix = schema.storeKeys.STEWARD_PREFIX;
      this.#stewards = list.map(({ key }) => key.slice(prefix.length));
      this.#renewedAtMs = clock.nowMs();
    });
  }

  /** Revokes the lease, so that other stewards take over without waiting for it to expire. */
  async leave(): Promise<void> {
    if (this.#leaseId !== undefined) {
      await this.#options.store.revokeLease(this.#leaseId);
    }
  }

  async #renew(): Promise<Result<void, schema.errors.JackdawlinkError>> {
    const { store } = this.#options;
    if (this.#leaseId !== undefined) {
      const alive = await store.keepLeaseAlive(this.#leaseId);
      if (alive.isErr() || alive.value) {
        return alive.map(() => undefined);
      }
    }
    return await this.#join();
  }

  async #join(): Promise<Result<void, schema.errors.JackdawlinkError>> {
    const { store, stewardId, leaseSeconds } = this.#options;
    const leaseId = await store.grantLease(leaseSeconds);
    if (leaseId.isErr()) {
      return err(leaseId.error);
    }
    const key = schema.storeKeys.stewardKey(stewardId);
    const write = { kind: "put", key, value: "{}", leaseId: leaseId.value } as const;
    const written = await store.transact([], [write]);
    return written.map(() => {
      this.#leaseId = leaseId.value;
    });
  }
}
