/**
 * Tracks the deficit of each participant in slot-milliseconds and adjusts shares to compensate for
 * it. What runs differs from the targets, since a slot moves only when a request ends; without the
 * correction, participants with small shares lose part of each move.
 *
 * @module
 */
import type * as maxMin from "./max_min.ts";

/** The time in which a deficit is compensated, approximately. */
const CORRECTION_MS = 1_000;
/** The largest deficit: a share, or one slot if that is more, missing for this long. */
const MAX_DEFICIT_MS = 2_000;
/** The largest correction, as a fraction of a share, or of one slot if that is more. */
const MAX_CORRECTION_RATIO = 0.5;
/** Absorbs the rounding of floating-point division. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Compares what each saturated participant runs with its proportional share of what all of them
 * run. A participant is saturated if its demand exceeds its share.
 */
export class DeficitTracker {
  #deficitsSlotMs = new Map<string, number>();
  #shares: ReadonlyMap<string, number> = new Map();
  #running: ReadonlyMap<string, number> = new Map();
  #atMs = 0;

  /**
   * Returns the shares with those of saturated participants adjusted by their deficits. Other
   * shares and the sum of all shares stay the same.
   */
  correct(
    shares: ReadonlyMap<string, number>,
    options: {
      participants: readonly maxMin.Participant[];
      running: ReadonlyMap<string, number>;
      nowMs: number;
    },
  ): Map<string, number> {
    this.#accrue(options.nowMs);
    const saturated = options.participants.filter(({ id, demand }) =>
      (shares.get(id) ?? 0) < demand - ROUNDING_TOLERANCE
    );
    this.#shares = new Map(saturated.map(({ id }) => [id, shares.get(id) ?? 0]));
    this.#running = new Map(saturated.map(({ id }) => [id, options.running.get(id) ?? 0]));
    this.#deficitsSlotMs = new Map(
      saturated.map(({ id }) => [id, this.#deficitsSlotMs.get(id) ?? 0]),
    );
    return this.#correctSaturated(shares, saturated);
  }

  #accrue(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    const ratio = sumOf(this.#running) / sumOf(this.#shares);
    for (const [id, share] of this.#shares) {
      const gained = (share * ratio - (this.#running.get(id) ?? 0)) * elapsedMs;
      const bound = Math.max(1, share) * MAX_DEFICIT_MS;
      const deficit = (this.#deficitsSlotMs.get(id) ?? 0) + gained;
      this.#deficitsSlotMs.set(id, Math.min(bound, Math.max(-bound, deficit)));
    }
  }

  #correctSaturated(
    shares: ReadonlyMap<string, number>,
    saturated: readonly maxMin.Participant[],
  ): Map<string, number> {
    const corrected = new Map(shares);
    let sum = 0;
    for (const { id, demand } of saturated) {
      const share = shares.get(id) ?? 0;
      const bound = Math.max(1, share) * MAX_CORRECTION_RATIO;
      const correction = (this.#deficitsSlotMs.get(id) ?? 0) / CORRECTION_MS;
      const adjusted = share + Math.min(bound, Math.max(-bound, correction));
      const bounded = Math.min(demand, Math.max(0, adjusted));
      corrected.set(id, bounded);
      sum += bounded;
    }
    const scale = sum > 0 ? sumOf(this.#shares) / sum : 1;
    for (const { id, demand } of saturated) {
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
