/**
 * How far the ends of one worker's tasks have come: listed by the worker, taken into account, stored, and
 * acknowledged. Ends are numbered from 1 in each life of a worker.
 *
 * @module
 */

interface Listing {
  readonly endNumber: number;
  readonly listedAtMs: number;
}

/** The ends of one life of a worker; each figure is the number of the last end that has come so far. */
export class EndProgress {
  listed = 0;
  /** Taken into account by decisions. */
  processed = 0;
  /** The effect is stored. Later ends would be lost with the worker. */
  stored = 0;
  /** The worker may forget the end. */
  acknowledged = 0;
  /** One for each report that listed new ends, until they are acknowledged. */
  readonly #listings: Listing[] = [];

  recordListed(endNumber: number, nowMs: number): void {
    if (endNumber > this.listed) {
      this.listed = endNumber;
      this.#listings.push({ endNumber, listedAtMs: nowMs });
    }
  }

  /** Returns how long the ends of each report waited for their acknowledgement, in ms. */
  recordAcknowledged(endNumber: number, nowMs: number): number[] {
    this.acknowledged = Math.max(this.acknowledged, endNumber);
    const waitsMs: number[] = [];
    while (this.#listings.length > 0 && this.#listings[0]!.endNumber <= this.acknowledged) {
      waitsMs.push(nowMs - this.#listings.shift()!.listedAtMs);
    }
    return waitsMs;
  }

  /** How long the oldest end that is not acknowledged has been listed. */
  oldestWaitMs(nowMs: number): number {
    const oldest = this.#listings[0];
    return oldest === undefined ? 0 : nowMs - oldest.listedAtMs;
  }
}
