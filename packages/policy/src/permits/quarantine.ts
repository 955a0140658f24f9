/**
 * Permits of fenced incarnations, which count as in use until every request that they may have
 * started is over.
 *
 * @module
 */

/** The most that a fenced incarnation may hold; `null` where nobody knows. */
export type HoldingBound = number | null;

/** The quarantined permits of one resource. */
export class Quarantine {
  /** Fenced while this ledger was in force, so that the ledger knows their bound. */
  readonly #known = new Map<string, number>();
  /** Fenced before this ledger came into force. */
  readonly #inherited = new Map<string, HoldingBound>();
  #unreported = 0;

  /** Adds an incarnation whose allotment the ledger knew. */
  addKnown(incarnation: string, bound: number): void {
    if (bound > 0) this.#known.set(incarnation, bound);
  }

  /** Adds an incarnation from before the ledger; its bound is a witness's record, if there is one. */
  addInherited(incarnation: string, bound: HoldingBound): void {
    this.#inherited.set(incarnation, bound);
  }

  /** Sets how many permits of the total no listed member reported when the ledger came into force. */
  setUnreported(count: number): void {
    this.#unreported = Math.max(0, count);
  }

  /** A total raised meanwhile may have been granted by the former coordinator already. */
  addUnreported(count: number): void {
    if (this.#inherited.size > 0) this.#unreported += count;
  }

  /** Forgets an incarnation whose last request is over. */
  release(incarnation: string): void {
    this.#known.delete(incarnation);
    this.#inherited.delete(incarnation);
  }

  /** Whether no incarnation is left. */
  isEmpty(): boolean {
    return this.#known.size === 0 && this.#inherited.size === 0;
  }

  /** Permits that count as in use by fenced incarnations. */
  count(): number {
    let known = 0;
    for (const bound of this.#known.values()) known += bound;
    return known + Math.min(this.#unreported, this.#inheritedCount());
  }

  #inheritedCount(): number {
    let sum = 0;
    for (const bound of this.#inherited.values()) sum += bound ?? Infinity;
    return sum;
  }
}
