/**
 * How many requests of each team each entry should run: the slots of a service are shared among teams,
 * and each team's share among the entries where it has demand.
 *
 * @module
 */
import * as lags from "./deficit_tracker.ts";
import * as maxMin from "./max_min.ts";

/** The demand of one team at one entry. */
export interface TeamLoad {
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** A team's weight in the pool, and its upper limit; null where it has none. */
export interface TeamRule {
  readonly weight: number;
  readonly limit: number | null;
}

/** The weight of a team without a share in the pool. */
const DEFAULT_WEIGHT = 1;

/** How long a team keeps a broken slot, at most. */
const TEAM_HOLD_CREDIT_SLOT_MS = 200;

/** Entries keep a team's broken slots for longer, as a moved slot is only there when a request ends. */
const ENTRY_HOLD_CREDIT_SLOT_MS = 1_000;

interface TeamTotal {
  running: number;
  demand: number;
  isUrgent: boolean;
  readonly claims: maxMin.Participant[];
}

/** Targets by entry, then by team. */
export type Targets = Map<string, Map<string, number>>;

/** Divides the slots of one service; keeps the credit that makes shares exact over time. */
export class TargetPlanner {
  readonly #teams = new maxMin.FairAllocator(TEAM_HOLD_CREDIT_SLOT_MS);
  readonly #entries = new Map<string, maxMin.FairAllocator>();
  readonly #lags = new lags.DeficitTracker();
  #isContended = false;

  /** Whether the demand exceeded the slots when they were last divided. */
  get isContended(): boolean {
    return this.#isContended;
  }

  /** Divides the slots by the loads of all entries; the loads' keys identify the entries. */
  plan(
    slots: number,
    options: {
      loads: ReadonlyMap<string, readonly TeamLoad[]>;
      ruleOf: (team: string) => TeamRule | undefined;
      nowMs: number;
    },
  ): Targets {
    const totals = totalByTeam(options.loads);
    const claims = [...totals].map(([team, total]) => teamClaim(team, total, options.ruleOf(team)));
    const running = new Map([...totals].map(([team, total]) => [team, total.running]));
    const shares = this.#teams.allocate(slots, claims, {
      nowMs: options.nowMs,
      adjustShares: (plain) => this.#lags.correct(plain, { claims, running, nowMs: options.nowMs }),
    });
    this.#isContended = claims.reduce((sum, claim) => sum + claim.demand, 0) > slots;
    const targets: Targets = new Map();
    for (const entry of options.loads.keys()) targets.set(entry, new Map());
    for (const [team, total] of totals) {
      const split = this.#entriesOf(team).allocate(
        shares.get(team) ?? 0,
        total.claims,
        options,
      );
      for (const [entry, count] of split) targets.get(entry)?.set(team, count);
    }
    for (const team of this.#entries.keys()) if (!totals.has(team)) this.#entries.delete(team);
    return targets;
  }

  #entriesOf(team: string): maxMin.FairAllocator {
    let divider = this.#entries.get(team);
    if (divider === undefined) {
      divider = new maxMin.FairAllocator(ENTRY_HOLD_CREDIT_SLOT_MS);
      this.#entries.set(team, divider);
    }
    return divider;
  }
}

function totalByTeam(loads: ReadonlyMap<string, readonly TeamLoad[]>): Map<string, TeamTotal> {
  const totals = new Map<string, TeamTotal>();
  for (const [entry, teams] of loads) {
    for (const load of teams) addLoad(totals, entry, load);
  }
  return totals;
}

function addLoad(totals: Map<string, TeamTotal>, entry: string, load: TeamLoad): void {
  const demand = load.running + load.waiting;
  if (demand === 0) return;
  const total = totals.get(load.team) ?? { running: 0, demand: 0, isUrgent: false, claims: [] };
  const isUrgent = load.urgentWaiting > 0;
  total.running += load.running;
  total.demand += demand;
  total.isUrgent ||= isUrgent;
  total.claims.push({ id: entry, weight: 1, demand, isUrgent });
  totals.set(load.team, total);
}

function teamClaim(team: string, total: TeamTotal, rule: TeamRule | undefined): maxMin.Participant {
  return {
    id: team,
    weight: rule?.weight ?? DEFAULT_WEIGHT,
    demand: Math.min(total.demand, rule?.limit ?? Infinity),
    isUrgent: total.isUrgent,
  };
}
