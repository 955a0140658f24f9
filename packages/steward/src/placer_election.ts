/**
 * Decides which steward places jobs. The placer record is a fence: each placement compares its
 * version, so that a steward that was replaced while it was paused can place nothing. The new placer
 * reads all jobs after it took the record over; limits of teams hold across the change.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The right to place jobs. */
export class PlacerElection {
  readonly #store: ports.store.Store;
  readonly #stewardId: string;
  readonly #incarnation: string;
  #revision: number | undefined;

  constructor(
    store: ports.store.Store,
    { stewardId, incarnation }: { stewardId: string; incarnation: string },
  ) {
    this.#store = store;
    this.#stewardId = stewardId;
    this.#incarnation = incarnation;
  }

  /** The version of the placer record while this steward believes to be the placer. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** Forgets the right; the next round asks for it again. */
  invalidate(): void {
    this.#revision = undefined;
  }

  /** Takes the record over. True if this steward has just become the placer. */
  async acquire(): Promise<boolean> {
    const key = schema.storeKeys.JOB_PLACER;
    const value = JSON.stringify({ stewardId: this.#stewardId, incarnation: this.#incarnation });
    const stored = await this.#store.get(key);
    if (stored.isErr()) {
      return false;
    }
    if (stored.value?.value === value) {
      // The answer to an earlier write was lost after it took effect.
      this.#revision = stored.value.modRevision;
      return true;
    }
    const compare = { key, modRevision: stored.value?.modRevision ?? 0 };
    const outcome = await this.#store.transact([compare], [{ kind: "put", key, value }]);
    if (outcome.isErr() || !outcome.value.succeeded) {
      return false;
    }
    this.#revision = outcome.value.storeRevision;
    return true;
  }
}
