/**
 * Weighted max-min fair allocation of whole slots. Credits make the average allocation over time
 * match the fractional shares.
 *
 * @module
 */

/** A participant in an allocation. */
export interface Participant {
  readonly id: string;
  readonly weight: number;
  /** The maximum number of slots that the participant can use. */
  readonly demand: number;
  /** Whether urgent work waits. It raises the priority for remainder slots, within a bound. */
  readonly isUrgent?: boolean;
}

/** The maximum credit or debt of a participant, in slot-milliseconds. */
const MAX_CREDIT_SLOT_MS = 10_000;

/** How far another participant's credit must be ahead before a remainder slot moves to it. */
export const DEFAULT_HYSTERESIS_SLOT_MS = 50;

/** The bonus for urgent work. It bounds how far a participant gets ahead of its share. */
const URGENT_CREDIT_SLOT_MS = 500;

/** Absorbs the rounding of floating-point division. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Returns the fractional weighted max-min shares. No participant gets more than its demand; slots
 * that one doesn't need are divided among the others by weight.
 */
export function maxMinShares(
  slots: number,
  participants: readonly Participant[],
): Map<string, number> {
  const shares = new Map<string, number>();
  const byRelativeDemand = [...participants].sort((a, b) =>
    a.demand / a.weight - b.demand / b.weight || (a.id < b.id ? -1 : 1)
  );
  let remaining = Math.max(0, slots);
  let remainingWeight = byRelativeDemand.reduce((sum, participant) => sum + participant.weight, 0);
  for (const participant of byRelativeDemand) {
    const share = Math.min(participant.demand, remaining * participant.weight / remainingWeight);
    shares.set(participant.id, share);
    remaining -= share;
    remainingWeight -= participant.weight;
  }
  return shares;
}

/** Allocates whole slots such that the average over time is the fractional share. */
export class FairAllocator {
  #credits = new Map<string, number>();
  #shares = new Map<string, number>();
  #counts = new Map<string, number>();
  #atMs = 0;
  readonly #hysteresisSlotMs: number;

  /** A remainder slot moves once another participant's credit is ahead by `hysteresisSlotMs`. */
  constructor(hysteresisSlotMs: number = DEFAULT_HYSTERESIS_SLOT_MS) {
    this.#hysteresisSlotMs = hysteresisSlotMs;
  }

  /**
   * Allocates the slots anew. The accrued credits decide which participants get the remainder
   * slots. `heldSlots` is what the participants have held since the last call, if that differs from
   * its result. `adjustShares` may change the shares before they are rounded.
   */
  allocate(
    slots: number,
    participants: readonly Participant[],
    options: {
      nowMs: number;
      heldSlots?: ReadonlyMap<string, number>;
      adjustShares?: (shares: ReadonlyMap<string, number>) => Map<string, number>;
    },
  ): Map<string, number> {
    this.#accrue(options.nowMs, options.heldSlots ?? this.#counts);
    const shares = maxMinShares(slots, participants);
    this.#shares = options.adjustShares?.(shares) ?? shares;
    this.#credits = new Map(
      participants.map((participant) => [participant.id, this.#credits.get(participant.id) ?? 0]),
    );
    this.#counts = this.#roundShares(slots, participants);
    return this.#counts;
  }

  #accrue(nowMs: number, heldSlots: ReadonlyMap<string, number>): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    for (const [id, share] of this.#shares) {
      const accrued = (share - (heldSlots.get(id) ?? 0)) * elapsedMs;
      const credit = (this.#credits.get(id) ?? 0) + accrued;
      this.#credits.set(
        id,
        Math.min(MAX_CREDIT_SLOT_MS, Math.max(-MAX_CREDIT_SLOT_MS, credit)),
      );
    }
  }

  #roundShares(slots: number, participants: readonly Participant[]): Map<string, number> {
    const counts = new Map<string, number>();
    let allocated = 0;
    let shareSum = 0;
    for (const participant of participants) {
      const share = this.#shares.get(participant.id) ?? 0;
      const whole = wholePart(share);
      counts.set(participant.id, whole);
      allocated += whole;
      shareSum += share;
    }
    const remainder = Math.min(Math.floor(slots), Math.floor(shareSum + ROUNDING_TOLERANCE)) -
      allocated;
    const unfilled = participants.filter((participant) =>
      (counts.get(participant.id) ?? 0) < participant.demand
    );
    const priorities = new Map(
      unfilled.map((participant) => [participant.id, this.#priorityOf(participant)]),
    );
    unfilled.sort((a, b) =>
      priorities.get(b.id)! - priorities.get(a.id)! || (a.id < b.id ? -1 : 1)
    );
    for (const participant of unfilled.slice(0, Math.max(0, remainder))) {
      counts.set(participant.id, (counts.get(participant.id) ?? 0) + 1);
    }
    return counts;
  }

  /** The priority for a remainder slot: credit and bonuses, then the fraction of the share. */
  #priorityOf(participant: Participant): number {
    const share = this.#shares.get(participant.id) ?? 0;
    const holdsRemainder = (this.#counts.get(participant.id) ?? 0) > wholePart(share);
    const bonus = (holdsRemainder ? this.#hysteresisSlotMs : 0) +
      (participant.isUrgent ? URGENT_CREDIT_SLOT_MS : 0);
    return (this.#credits.get(participant.id) ?? 0) + bonus + (share - wholePart(share));
  }
}

function wholePart(share: number): number {
  return Math.floor(share + ROUNDING_TOLERANCE);
}
