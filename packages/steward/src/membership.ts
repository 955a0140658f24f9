/**
 * Which stewards are alive: each holds a key under a lease.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** Parts of the lease's time after which it is renewed and the list is read. */
const RENEWALS_PER_LEASE = 3;

/** What the membership works with. */
export interface StewardMembershipOptions {
  readonly store: ports.store.Store;
  readonly clock: ports.clock.Clock;
  readonly stewardId: string;
  readonly leaseSeconds: number;
}

/** Keeps this steward's key alive and knows the others. */
export class StewardMembership {
  readonly #options: StewardMembershipOptions;
  #leaseId: string | undefined;
  #renewedAtMs = Number.NEGATIVE_INFINITY;
  #stewards: readonly string[] = [];

  constructor(options: StewardMembershipOptions) {
    this.#options = options;
  }

  /** The stewards that were alive at the last read. */
  get stewards(): readonly string[] {
    return this.#stewards;
  }

  /** Renews the lease and reads the list, when it is time. */
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

  /** Leaves, so that others act at once. */
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
