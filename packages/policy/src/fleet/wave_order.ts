/**
 * Selects the VMs of a wave whose maintenance starts next.
 *
 * @module
 */
import * as budgets from "./budgets.ts";

/** A VM that still has to be maintained by the wave. */
export interface WaveCandidate extends budgets.VmLocation {
  readonly pool: string;
  /** The expected time of its drain. */
  readonly expectedDrainMs: number;
}

/** The limits and the unavailable VMs of a pool. */
export interface WavePool {
  readonly limits: budgets.BudgetLimits;
  readonly unavailable: readonly budgets.VmLocation[];
}

/**
 * Selects the VMs to start now, as many as the budgets allow. VMs in the racks with the most
 * remaining VMs and VMs with the longest drains go first, which shortens the rollout.
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
  for (const candidate of sortCandidates(candidates, pools)) {
    const limits = pools.get(candidate.pool)?.limits ?? budgets.DEFAULT_LIMITS;
    const used = unavailable.get(candidate.pool) ?? [];
    const decision = budgets.checkBudget(limits, { candidate, unavailable: used });
    if (decision.allowed) {
      used.push(candidate);
      unavailable.set(candidate.pool, used);
      chosen.push(candidate);
    }
  }
  return chosen;
}

/**
 * Sorts VMs of pools with a limit per rack or availability zone first, by the number of remaining
 * VMs in their rack, since a rack left with many VMs would otherwise prolong the end of the
 * rollout. After that, the longest expected drain comes first.
 */
function sortCandidates(
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

/** A key that identifies the rack across availability zones. */
function rackOf(location: budgets.VmLocation): string {
  return `${location.availabilityZone}/${location.rack}`;
}

/** The number of items per key. */
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

/** Compares strings by code units. */
function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
