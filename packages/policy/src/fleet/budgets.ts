/**
 * Availability budgets: whether one more VM of a pool may become unavailable.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** A VM with its failure domains. */
export interface VmLocation {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly rack: string;
}

/** The limit of a budget that is exhausted. */
export type BudgetLimit = "pool" | "availabilityZone" | "rack";

/** Whether a VM may become unavailable, and if not, which limit is exhausted. */
export type BudgetDecision =
  | { readonly allowed: true }
  | {
    readonly allowed: false;
    readonly limit: BudgetLimit;
    readonly used: number;
    readonly max: number;
  };

/** The limits that apply to a pool. */
export type BudgetLimits = Pick<
  schema.config.AvailabilityBudget,
  "maxUnavailable" | "maxUnavailablePerAvailabilityZone" | "maxUnavailablePerRack"
>;

/** The limits of a pool without an availability budget. */
export const DEFAULT_LIMITS: BudgetLimits = { maxUnavailable: 1 };

/** The limits of a pool. If it has several budgets, the smallest value of each limit applies. */
export function limitsOfPool(config: schema.config.Config, pool: string): BudgetLimits {
  const budgets = Object.values(config.availabilityBudgets).filter((each) => each.pool === pool);
  if (budgets.length === 0) {
    return DEFAULT_LIMITS;
  }
  return {
    maxUnavailable: Math.min(...budgets.map((each) => each.maxUnavailable)),
    maxUnavailablePerAvailabilityZone: smallest(
      budgets.map((each) => each.maxUnavailablePerAvailabilityZone),
    ),
    maxUnavailablePerRack: smallest(budgets.map((each) => each.maxUnavailablePerRack)),
  };
}

/**
 * The VMs of a pool that count as unavailable: those that hold a token, and unplanned losses, which
 * are VMs that the platform doesn't list as live.
 */
export function unavailableVms(
  tokens: readonly VmLocation[],
  losses: readonly VmLocation[],
): readonly VmLocation[] {
  const byVm = new Map<string, VmLocation>();
  for (const location of [...losses, ...tokens]) {
    byVm.set(location.vm, location);
  }
  return [...byVm.values()];
}

/** Checks whether `candidate` may become unavailable in addition to the VMs that already are. */
export function checkBudget(
  limits: BudgetLimits,
  { candidate, unavailable }: {
    readonly candidate: VmLocation;
    readonly unavailable: readonly VmLocation[];
  },
): BudgetDecision {
  const others = unavailable.filter((each) => each.vm !== candidate.vm);
  const sameZone = others.filter((each) => each.availabilityZone === candidate.availabilityZone);
  const sameRack = sameZone.filter((each) => each.rack === candidate.rack);
  const checks: readonly [BudgetLimit, number, number | undefined][] = [
    ["pool", others.length, limits.maxUnavailable],
    ["availabilityZone", sameZone.length, limits.maxUnavailablePerAvailabilityZone],
    ["rack", sameRack.length, limits.maxUnavailablePerRack],
  ];
  for (const [limit, used, max] of checks) {
    if (max !== undefined && used >= max) {
      return { allowed: false, limit, used, max };
    }
  }
  return { allowed: true };
}

/** The smallest defined number, or undefined if there is none. */
function smallest(values: readonly (number | undefined)[]): number | undefined {
  const defined = values.filter((value) => value !== undefined);
  return defined.length === 0 ? undefined : Math.min(...defined);
}
