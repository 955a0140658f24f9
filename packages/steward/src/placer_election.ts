/**
 * Elects the steward that places jobs, the placer. The revision of the placer record is a fencing
 * token: each placement is written only if the revision is unchanged, so a steward that was
 * replaced while it was paused can't place a job. A new placer reads all jobs after it has taken
 * the record over, so the limits of teams hold across the change.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** This steward's part in the election of the placer. */
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

  /**
   * The revision of the placer record; undefined unless this steward takes itself for the placer.
   */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** Forgets the revision, so that the next round acquires the placer record again. */
  invalidate(): void {
    this.#revision = undefined;
  }

  /** Writes this steward to the placer record. Returns true if this steward is the placer now. */
  async acquire(): Promise<boolean> {
    const key = schema.storeKeys.JOB_PLACER;
    const value = JSON.stringify({ stewardId: this.#stewardId, incarnation: this.#incarnation });
    const stored = await this.#store.get(key);
    if (stored.isErr()) {
      return false;
    }
    if (stored.value?.value === value) {
      // An earlier write took effect, but its answer was lost.
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
