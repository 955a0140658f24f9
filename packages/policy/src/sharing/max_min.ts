/**
 * Weighted max-min fair division of a whole number of slots, exact over time through credit.
 *
 * @module
 */

/** One party to a division. */
export interface Participant {
  readonly id: string;
  readonly weight: number;
  /** The most that the party can use. */
  readonly demand: number;
  /** Whether urgent work waits; it gets a broken slot earlier, within a bound. */
  readonly isUrgent?: boolean;
}

/** The credit that one party may build up, in slots times milliseconds. */
const MAX_CREDIT_SLOT_MS = 10_000;

/** How far another's credit has to be ahead before a broken slot moves. */
export const DEFAULT_HYSTERESIS_SLOT_MS = 50;

/** How far ahead of its share urgent work may bring a party. */
const URGENT_CREDIT_SLOT_MS = 500;

/** Absorbs the rounding of floating-point division. */
const ROUNDING_SLACK = 1e-9;

/**
 * The fractional weighted max-min shares: nobody gets more than its demand, and what one leaves is
 * divided among the others by weight.
 */
export function maxMinShares(slots: number, claims: readonly Participant[]): Map<string, number> {
  const shares = new Map<string, number>();
  const byNeed = [...claims].sort((a, b) =>
    a.demand / a.weight - b.demand / b.weight || (a.id < b.id ? -1 : 1)
  );
  let remaining = Math.max(0, slots);
  let weights = byNeed.reduce((sum, claim) => sum + claim.weight, 0);
  for (const claim of byNeed) {
    const share = Math.min(claim.demand, remaining * claim.weight / weights);
    shares.set(claim.id, share);
    remaining -= share;
    weights -= claim.weight;
  }
  return shares;
}

/** Divides slots into whole numbers whose average over time is the fractional share. */
export class FairAllocator {
  #credits = new Map<string, number>();
  #shares = new Map<string, number>();
  #counts = new Map<string, number>();
  #atMs = 0;
  readonly #holdCreditSlotMs: number;

  /** A broken slot moves once another's credit is ahead by `holdCreditSlotMs`. */
  constructor(holdCreditSlotMs: number = DEFAULT_HYSTERESIS_SLOT_MS) {
    this.#holdCreditSlotMs = holdCreditSlotMs;
  }

  /**
   * Divides anew; the credit since the last division decides who gets a broken slot. `held` is what the
   * parties had since then, where that is not what the last division gave them.
   */
  allocate(
    slots: number,
    claims: readonly Participant[],
    options: {
      nowMs: number;
      heldSlots?: ReadonlyMap<string, number>;
      adjustShares?: (shares: ReadonlyMap<string, number>) => Map<string, number>;
    },
  ): Map<string, number> {
    this.#accrue(options.nowMs, options.heldSlots ?? this.#counts);
    const shares = maxMinShares(slots, claims);
    this.#shares = options.adjustShares?.(shares) ?? shares;
    this.#credits = new Map(claims.map((claim) => [claim.id, this.#credits.get(claim.id) ?? 0]));
    this.#counts = this.#roundShares(slots, claims);
    return this.#counts;
  }

  #accrue(nowMs: number, held: ReadonlyMap<string, number>): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    for (const [id, share] of this.#shares) {
      const gained = (share - (held.get(id) ?? 0)) * elapsedMs;
      const credit = (this.#credits.get(id) ?? 0) + gained;
      this.#credits.set(
        id,
        Math.min(MAX_CREDIT_SLOT_MS, Math.max(-MAX_CREDIT_SLOT_MS, credit)),
      );
    }
  }

  #roundShares(slots: number, claims: readonly Participant[]): Map<string, number> {
    const counts = new Map<string, number>();
    let given = 0;
    let owed = 0;
    for (const claim of claims) {
      const share = this.#shares.get(claim.id) ?? 0;
      const whole = wholePart(share);
      counts.set(claim.id, whole);
      given += whole;
      owed += share;
    }
    const spare = Math.min(Math.floor(slots), Math.floor(owed + ROUNDING_SLACK)) - given;
    const broken = claims.filter((claim) => (counts.get(claim.id) ?? 0) < claim.demand);
    const urges = new Map(broken.map((claim) => [claim.id, this.#urgeOf(claim)]));
    broken.sort((a, b) => urges.get(b.id)! - urges.get(a.id)! || (a.id < b.id ? -1 : 1));
    for (const claim of broken.slice(0, Math.max(0, spare))) {
      counts.set(claim.id, (counts.get(claim.id) ?? 0) + 1);
    }
    return counts;
  }

  /** Credit first; between equal credits the larger broken part. */
  #urgeOf(claim: Participant): number {
    const share = this.#shares.get(claim.id) ?? 0;
    const holds = (this.#counts.get(claim.id) ?? 0) > wholePart(share);
    const bonus = (holds ? this.#holdCreditSlotMs : 0) +
      (claim.isUrgent ? URGENT_CREDIT_SLOT_MS : 0);
    return (this.#credits.get(claim.id) ?? 0) + bonus + (share - wholePart(share));
  }
}

function wholePart(share: number): number {
  return Math.floor(share + ROUNDING_SLACK);
}
