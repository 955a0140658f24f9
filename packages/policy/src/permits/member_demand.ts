/**
 * A member's demand: what it needs of each group, and when its coordinators are told.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import * as demandReporters from "./demand_reporter.ts";
import * as groups from "./groups.ts";
import type * as holders from "./holder.ts";

/** The demand of one team at one service in this entry. */
export interface ServiceLoad {
  readonly service: string;
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** Where demand goes, and which groups the configuration has. */
export interface DemandRoutes {
  readonly groups: ReadonlyMap<string, groups.Group>;
  readonly coordinatorMemberOf: (group: string) => head.Member | null;
}

type LoadsByGroup = ReadonlyMap<string, readonly ServiceLoad[]>;

/** Decides what is told of the demand, from the loads and the holdings. */
export class MemberDemand {
  readonly #holder: holders.Holder;
  readonly #reporter = new demandReporters.DemandReporter();

  constructor(holder: holders.Holder) {
    this.#holder = holder;
  }

  /** Has a group told at the next chance, as its coordinator waits for an answer. */
  forceReport(group: string): void {
    this.#reporter.forceReport(group);
  }

  /** Tells coordinators what is due; returns when the next report is due, null for never. */
  reportDue(
    loads: readonly ServiceLoad[],
    options: {
      routes: DemandRoutes;
      nowMs: number;
      send: (memberId: string, demand: demandReporters.GroupDemand) => void;
    },
  ): number | null {
    const { routes, nowMs, send } = options;
    const byGroup = this.#loadsByGroup(loads, routes);
    const names = new Set([
      ...byGroup.keys(),
      ...this.#reporter.groups(),
      ...this.#holder.groups(),
    ]);
    let nextAtMs: number | null = null;
    for (const name of names) {
      if (!this.#isCoordinated(name, routes)) continue;
      const coordinator = routes.coordinatorMemberOf(name);
      if (coordinator === null) continue;
      const demand = this.#demandOf(name, byGroup);
      const isShort = this.#isShort(demand);
      const about = { coordinator: coordinator.incarnation, isShort, nowMs };
      const { isDue, dueAtMs } = this.#reporter.checkDue(demand, about);
      if (isDue) send(coordinator.memberId, demand);
      if (dueAtMs !== null) nextAtMs = Math.min(nextAtMs ?? Infinity, dueAtMs);
    }
    return nextAtMs;
  }

  /** The loads of each service's group, and of each team's group over all services. */
  #loadsByGroup(loads: readonly ServiceLoad[], routes: DemandRoutes): LoadsByGroup {
    const byGroup = new Map<string, ServiceLoad[]>();
    for (const load of loads) {
      push(byGroup, groups.teamGroup(load.team), load);
      push(byGroup, groups.serviceGroup(load.service), this.#startableOf(load, routes));
    }
    return byGroup;
  }

  /** Slots are needed only for what the team's limit lets this entry start. */
  #startableOf(load: ServiceLoad, routes: DemandRoutes): ServiceLoad {
    const team = groups.teamGroup(load.team);
    if (!routes.groups.has(team)) return load;
    const waiting = Math.min(load.waiting, this.#holder.freeCount(team));
    return { ...load, waiting, urgentWaiting: Math.min(load.urgentWaiting, waiting) };
  }

  /** A team without a limit is only counted, in case it gets one. */
  #isCoordinated(group: string, routes: DemandRoutes): boolean {
    return routes.groups.has(group) || this.#holder.promisedTermOf(group) > 0;
  }

  #demandOf(group: string, byGroup: LoadsByGroup): demandReporters.GroupDemand {
    const holdings = [];
    for (const resource of this.#holder.resourcesOf(group)) {
      const { held, inUse, grantSeq } = this.#holder.holdingOf(resource);
      holdings.push({ resource, held, inUse, grantSeq });
    }
    const teams = (byGroup.get(group) ?? []).map(({ team, running, waiting, urgentWaiting }) => ({
      team,
      running,
      waiting,
      urgentWaiting,
    }));
    return { group, term: this.#holder.promisedTermOf(group), holdings, teams };
  }

  /** Whether requests wait for which no permit of the group is free. */
  #isShort(demand: demandReporters.GroupDemand): boolean {
    let waiting = 0;
    for (const team of demand.teams) waiting += team.waiting;
    if (waiting === 0) return false;
    let free = 0;
    for (const holding of demand.holdings) free += this.#holder.freeCount(holding.resource);
    return waiting > free;
  }
}

function push(byGroup: Map<string, ServiceLoad[]>, group: string, load: ServiceLoad): void {
  if (load.running + load.waiting === 0) return;
  const known = byGroup.get(group);
  if (known === undefined) byGroup.set(group, [load]);
  else known.push(load);
}
