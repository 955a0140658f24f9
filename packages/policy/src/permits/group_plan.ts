/**
 * Plans how many permits of one group each member needs, from the demand that the members reported.
 *
 * @module
 */
import * as maxMin from "../sharing/max_min.ts";
import * as targets from "../sharing/targets.ts";

/** The latest demand that one incarnation reported. */
export interface MemberLoad {
  readonly incarnation: string;
  readonly inUse: number;
  /** The upper bound of the permits that it holds. */
  readonly held: number;
  readonly teams: readonly targets.TeamLoad[];
}

/** The permits that each member needs, and targets by team if the group belongs to a service. */
export interface GroupNeeds {
  readonly needs: ReadonlyMap<string, number>;
  readonly targets: targets.Targets | null;
  /** Whether demand exceeds the available permits, so that fractional shares rotate over time. */
  readonly isContended: boolean;
}

/** Plans the needs of a group's members. The sum of the needs does not exceed `available`. */
export interface NeedPlanner {
  plan(available: number, options: { loads: readonly MemberLoad[]; nowMs: number }): GroupNeeds;
}

/**
 * How far another entry's credit must be ahead before the permit of a fractional share moves to it,
 * in slots times milliseconds.
 */
const HOLD_CREDIT_SLOT_MS = 250;

/** Divides a team's limit among the entries by max-min fairness over their demand. */
export class TeamNeedPlanner implements NeedPlanner {
  readonly #allocator = new maxMin.FairAllocator(HOLD_CREDIT_SLOT_MS);

  plan(available: number, options: { loads: readonly MemberLoad[]; nowMs: number }): GroupNeeds {
    const claims = options.loads.map(memberClaim).filter((claim) => claim.demand > 0);
    const heldSlots = new Map(options.loads.map((load) => [load.incarnation, load.held]));
    const needs = this.#allocator.allocate(available, claims, { nowMs: options.nowMs, heldSlots });
    const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
    return { needs, targets: null, isContended: demand > available };
  }
}

/** Divides a service's slots first among the teams, then each team's share among the entries. */
export class ServiceNeedPlanner implements NeedPlanner {
  readonly #planner = new targets.TargetPlanner();
  readonly #ruleOf: (team: string) => targets.TeamRule | undefined;

  constructor(ruleOf: (team: string) => targets.TeamRule | undefined) {
    this.#ruleOf = ruleOf;
  }

  plan(available: number, options: { loads: readonly MemberLoad[]; nowMs: number }): GroupNeeds {
    const planned = this.#planner.plan(available, {
      loads: new Map(options.loads.map((load) => [load.incarnation, load.teams])),
      ruleOf: this.#ruleOf,
      nowMs: options.nowMs,
    });
    const needs = new Map<string, number>();
    for (const [incarnation, teams] of planned) {
      let need = 0;
      for (const count of teams.values()) need += count;
      needs.set(incarnation, need);
    }
    return { needs, targets: planned, isContended: this.#planner.isContended };
  }
}

function memberClaim(load: MemberLoad): maxMin.Participant {
  const waiting = load.teams.reduce((sum, team) => sum + team.waiting, 0);
  const isUrgent = load.teams.some((team) => team.urgentWaiting > 0);
  return { id: load.incarnation, weight: 1, demand: load.inUse + waiting, isUrgent };
}
