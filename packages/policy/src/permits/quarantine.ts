/**
 * The permits of fenced incarnations. They count as in use until every request that the
 * incarnations may have started has ended.
 *
 * @module
 */

/** An upper bound of the permits that a fenced incarnation holds; null if unknown. */
export type HoldingBound = number | null;

/** The quarantined permits of one resource. */
export class Quarantine {
  /** Incarnations fenced while the ledger was in use, with their bounds from the ledger. */
  readonly #known = new Map<string, number>();
  /** Incarnations fenced before the ledger was initialized. */
  readonly #inherited = new Map<string, HoldingBound>();
  #unreported = 0;

  /** Adds an incarnation whose bound the ledger knew. */
  addKnown(incarnation: string, bound: number): void {
    if (bound > 0) this.#known.set(incarnation, bound);
  }

  /**
   * Adds an incarnation fenced before the ledger was initialized, with a reported bound if known.
   */
  addInherited(incarnation: string, bound: HoldingBound): void {
    this.#inherited.set(incarnation, bound);
  }

  /** Sets how many permits of the total no listed member reported as held during the takeover. */
  setUnreported(count: number): void {
    this.#unreported = Math.max(0, count);
  }

  /**
   * Adds the raise of a total, which the previous coordinator may have granted to fenced members.
   */
  addUnreported(count: number): void {
    if (this.#inherited.size > 0) this.#unreported += count;
  }

  /** Removes an incarnation whose last request has ended. */
  release(incarnation: string): void {
    this.#known.delete(incarnation);
    this.#inherited.delete(incarnation);
  }

  /** Whether no incarnation is quarantined. */
  isEmpty(): boolean {
    return this.#known.size === 0 && this.#inherited.size === 0;
  }

  /**
   * The permits that count as in use by fenced incarnations. Those fenced before the ledger was
   * initialized cannot hold more than the permits that no listed member reported.
   */
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
