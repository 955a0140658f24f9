/**
 * What members should hold of one group, from what they told of their demand.
 *
 * @module
 */
import * as maxMin from "../sharing/max_min.ts";
import * as targets from "../sharing/targets.ts";

/** The demand that one incarnation told of last. */
export interface MemberLoad {
  readonly incarnation: string;
  readonly inUse: number;
  /** The most that it may hold now. */
  readonly held: number;
  readonly teams: readonly targets.TeamLoad[];
}

/** Needs of members in permits, and targets per team where the group is a service's. */
export interface GroupNeeds {
  readonly needs: ReadonlyMap<string, number>;
  readonly targets: targets.Targets | null;
  /** Whether somebody needs more than there is, so that time moves broken permits on. */
  readonly isContended: boolean;
}

/** Plans the needs of a group's members; the needs fit what is available. */
export interface NeedPlanner {
  plan(available: number, options: { loads: readonly MemberLoad[]; nowMs: number }): GroupNeeds;
}

/** How long an entry keeps a broken permit of a limit that is below the entries' need. */
const HOLD_CREDIT_SLOT_MS = 250;

/** Divides a team's limit by max-min over the entries' needs. */
export class TeamNeedPlanner implements NeedPlanner {
  readonly #divider = new maxMin.FairAllocator(HOLD_CREDIT_SLOT_MS);

  plan(available: number, options: { loads: readonly MemberLoad[]; nowMs: number }): GroupNeeds {
    const claims = options.loads.map(memberClaim).filter((claim) => claim.demand > 0);
    const held = new Map(options.loads.map((load) => [load.incarnation, load.held]));
    const needs = this.#divider.allocate(available, claims, {
      nowMs: options.nowMs,
      heldSlots: held,
    });
    const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
    return { needs, targets: null, isContended: demand > available };
  }
}

/** Divides a service's slots among teams first, then among the entries with their demand. */
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
