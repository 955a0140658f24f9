/**
 * How much slot time each party lacks, and shares that make up for it. Targets are not what really
 * runs, since a slot moves only when a request ends; without the correction, parties with small shares
 * lose a part of each move.
 *
 * @module
 */
import type * as maxMin from "./max_min.ts";

/** A lag is made up for in about this time. */
const CORRECTION_MS = 1_000;
/** The largest lag, as a time for which a whole share was missing; for small shares that of one slot. */
const MAX_LAG_MS = 2_000;
/** The largest part of a share by which it is moved; for small shares that of one slot. */
const MAX_CORRECTION_RATIO = 0.5;
/** Absorbs the rounding of floating-point division. */
const ROUNDING_SLACK = 1e-9;

/** Follows what parties really run, against their shares of what all full parties run. */
export class DeficitTracker {
  #lagsSlotMs = new Map<string, number>();
  #shares: ReadonlyMap<string, number> = new Map();
  #running: ReadonlyMap<string, number> = new Map();
  #atMs = 0;

  /**
   * The shares of parties with more demand than their share, moved by what they lack; others keep
   * theirs. The sum stays the same.
   */
  correct(
    shares: ReadonlyMap<string, number>,
    options: {
      claims: readonly maxMin.Participant[];
      running: ReadonlyMap<string, number>;
      nowMs: number;
    },
  ): Map<string, number> {
    this.#accrue(options.nowMs);
    const full = options.claims.filter(({ id, demand }) =>
      (shares.get(id) ?? 0) < demand - ROUNDING_SLACK
    );
    this.#shares = new Map(full.map(({ id }) => [id, shares.get(id) ?? 0]));
    this.#running = new Map(full.map(({ id }) => [id, options.running.get(id) ?? 0]));
    this.#lagsSlotMs = new Map(full.map(({ id }) => [id, this.#lagsSlotMs.get(id) ?? 0]));
    return this.#correctFull(shares, full);
  }

  #accrue(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    const ratio = sumOf(this.#running) / sumOf(this.#shares);
    for (const [id, share] of this.#shares) {
      const gained = (share * ratio - (this.#running.get(id) ?? 0)) * elapsedMs;
      const most = Math.max(1, share) * MAX_LAG_MS;
      const lag = (this.#lagsSlotMs.get(id) ?? 0) + gained;
      this.#lagsSlotMs.set(id, Math.min(most, Math.max(-most, lag)));
    }
  }

  #correctFull(
    shares: ReadonlyMap<string, number>,
    full: readonly maxMin.Participant[],
  ): Map<string, number> {
    const corrected = new Map(shares);
    let sum = 0;
    for (const { id, demand } of full) {
      const share = shares.get(id) ?? 0;
      const most = Math.max(1, share) * MAX_CORRECTION_RATIO;
      const correction = (this.#lagsSlotMs.get(id) ?? 0) / CORRECTION_MS;
      const moved = share + Math.min(most, Math.max(-most, correction));
      const bounded = Math.min(demand, Math.max(0, moved));
      corrected.set(id, bounded);
      sum += bounded;
    }
    const scale = sum > 0 ? sumOf(this.#shares) / sum : 1;
    for (const { id, demand } of full) {
      corrected.set(id, Math.min(demand, corrected.get(id)! * scale));
    }
    return corrected;
  }
}

function sumOf(values: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const value of values.values()) sum += value;
  return sum;
}
