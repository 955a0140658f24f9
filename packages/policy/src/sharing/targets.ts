/**
 * Computes how many requests of each team each entry should run. The slots of a service are divided
 * among teams, and the slots of each team among the entries where it has demand.
 *
 * @module
 */
import * as deficitTracker from "./deficit_tracker.ts";
import * as maxMin from "./max_min.ts";

/** The demand of a team at an entry, in requests. */
export interface TeamLoad {
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** A team's weight in the pool and its upper limit, which is null if it has none. */
export interface TeamRule {
  readonly weight: number;
  readonly limit: number | null;
}

/** The weight of a team that has no share in the pool. */
const DEFAULT_WEIGHT = 1;

/**
 * The credit lead that moves a remainder slot to another team. Bounds how long a team keeps one.
 */
const TEAM_HYSTERESIS_SLOT_MS = 200;

/**
 * The credit lead that moves a remainder slot of a team between entries. It is larger than that
 * between teams, since a moved slot is available only once a request ends.
 */
const ENTRY_HYSTERESIS_SLOT_MS = 1_000;

/** The demand of a team at all entries. */
interface TeamTotal {
  running: number;
  demand: number;
  isUrgent: boolean;
  /** The entries at which the team has demand. */
  readonly entries: maxMin.Participant[];
}

/** The target number of running requests by entry, then by team. */
export type Targets = Map<string, Map<string, number>>;

/** Divides the slots of a service and keeps the credits that make the average match the shares. */
export class TargetPlanner {
  readonly #teamAllocator = new maxMin.FairAllocator(TEAM_HYSTERESIS_SLOT_MS);
  readonly #entryAllocators = new Map<string, maxMin.FairAllocator>();
  readonly #deficits = new deficitTracker.DeficitTracker();
  #isContended = false;

  /** Whether the demand exceeded the slots in the last plan. */
  get isContended(): boolean {
    return this.#isContended;
  }

  /** Divides the slots by the loads of all entries. The keys of `loads` identify the entries. */
  plan(
    slots: number,
    options: {
      loads: ReadonlyMap<string, readonly TeamLoad[]>;
      ruleOf: (team: string) => TeamRule | undefined;
      nowMs: number;
    },
  ): Targets {
    const totals = totalByTeam(options.loads);
    const participants = [...totals].map(([team, total]) =>
      teamParticipant(team, total, options.ruleOf(team))
    );
    const running = new Map([...totals].map(([team, total]) => [team, total.running]));
    const slotsByTeam = this.#teamAllocator.allocate(slots, participants, {
      nowMs: options.nowMs,
      adjustShares: (shares) =>
        this.#deficits.correct(shares, { participants, running, nowMs: options.nowMs }),
    });
    this.#isContended =
      participants.reduce((sum, participant) => sum + participant.demand, 0) > slots;
    const targets: Targets = new Map();
    for (const entry of options.loads.keys()) targets.set(entry, new Map());
    for (const [team, total] of totals) {
      const allocated = this.#allocatorOf(team).allocate(
        slotsByTeam.get(team) ?? 0,
        total.entries,
        options,
      );
      for (const [entry, count] of allocated) targets.get(entry)?.set(team, count);
    }
    for (const team of this.#entryAllocators.keys()) {
      if (!totals.has(team)) this.#entryAllocators.delete(team);
    }
    return targets;
  }

  #allocatorOf(team: string): maxMin.FairAllocator {
    let allocator = this.#entryAllocators.get(team);
    if (allocator === undefined) {
      allocator = new maxMin.FairAllocator(ENTRY_HYSTERESIS_SLOT_MS);
      this.#entryAllocators.set(team, allocator);
    }
    return allocator;
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
  const total = totals.get(load.team) ?? { running: 0, demand: 0, isUrgent: false, entries: [] };
  const isUrgent = load.urgentWaiting > 0;
  total.running += load.running;
  total.demand += demand;
  total.isUrgent ||= isUrgent;
  total.entries.push({ id: entry, weight: 1, demand, isUrgent });
  totals.set(load.team, total);
}

function teamParticipant(
  team: string,
  total: TeamTotal,
  rule: TeamRule | undefined,
): maxMin.Participant {
  return {
    id: team,
    weight: rule?.weight ?? DEFAULT_WEIGHT,
    demand: Math.min(total.demand, rule?.limit ?? Infinity),
    isUrgent: total.isUrgent,
  };
}
