/**
 * Which VMs of a wave start next.
 *
 * @module
 */
import * as budgets from "./budgets.ts";

/** A VM that a wave has yet to maintain. */
export interface WaveCandidate extends budgets.VmLocation {
  readonly pool: string;
  /** How long its drain is expected to take. */
  readonly expectedDrainMs: number;
}

/** One pool as the order sees it. */
export interface WavePool {
  readonly limits: budgets.BudgetLimits;
  readonly unavailable: readonly budgets.VmLocation[];
}

/**
 * The VMs to start now, as many as the budgets allow. Availability zones in which the wave has already
 * VMs out come first, then racks, so that one failure domain is finished before the next; within one
 * the longest drains go first, which shortens the roll-out.
 */
export function selectNextVms(
  candidates: readonly WaveCandidate[],
  pools: ReadonlyMap<string, WavePool>,
): readonly WaveCandidate[] {
  const unavailable = new Map<string, budgets.VmLocation[]>();
  for (const [pool, { unavailable: vms }] of pools) {
    unavailable.set(pool, [...vms]);
  }
  const chosen: WaveCandidate[] = [];
  for (const candidate of inOrder(candidates, pools)) {
    const limits = pools.get(candidate.pool)?.limits ?? budgets.DEFAULT_LIMITS;
    const used = unavailable.get(candidate.pool) ?? [];
    const verdict = budgets.checkBudget(limits, { candidate, unavailable: used });
    if (verdict.allowed) {
      used.push(candidate);
      unavailable.set(candidate.pool, used);
      chosen.push(candidate);
    }
  }
  return chosen;
}

/** Remaining VMs per domain decide the order, the fullest last domain would otherwise be the tail. */
function inOrder(
  candidates: readonly WaveCandidate[],
  pools: ReadonlyMap<string, WavePool>,
): readonly WaveCandidate[] {
  const remaining = countBy(candidates, rackOf);
  const isBounded = (candidate: WaveCandidate) =>
    pools.get(candidate.pool)?.limits.maxUnavailablePerRack !== undefined ||
    pools.get(candidate.pool)?.limits.maxUnavailablePerAvailabilityZone !== undefined;
  return [...candidates].sort((left, right) =>
    Number(isBounded(right)) - Number(isBounded(left)) ||
    (isBounded(left)
      ? (remaining.get(rackOf(right)) ?? 0) - (remaining.get(rackOf(left)) ?? 0)
      : 0) ||
    right.expectedDrainMs - left.expectedDrainMs ||
    compareText(rackOf(left), rackOf(right)) ||
    compareText(left.vm, right.vm)
  );
}

/** The rack with its availability zone. */
function rackOf(place: budgets.VmLocation): string {
  return `${place.availabilityZone}/${place.rack}`;
}

/** How many items have each key. */
function countBy<TItem>(
  items: readonly TItem[],
  keyOf: (item: TItem) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  }
  return counts;
}

/** Orders text by its code units. */
function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
