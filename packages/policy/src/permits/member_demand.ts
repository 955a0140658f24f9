/**
 * Computes a member's demand for each group of resources and reports it to the groups'
 * coordinators.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import * as demandReporters from "./demand_reporter.ts";
import * as groups from "./groups.ts";
import type * as holders from "./holder.ts";

/** The running and waiting requests of one team at one service in this entry. */
export interface ServiceLoad {
  readonly service: string;
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** The configured groups, and the members that coordinate them. */
export interface DemandRoutes {
  readonly groups: ReadonlyMap<string, groups.Group>;
  readonly coordinatorMemberOf: (group: string) => head.Member | null;
}

type LoadsByGroup = ReadonlyMap<string, readonly ServiceLoad[]>;

/** Builds demand reports from the entry's loads and held permits, and sends those that are due. */
export class MemberDemand {
  readonly #holder: holders.Holder;
  readonly #reporter = new demandReporters.DemandReporter();

  constructor(holder: holders.Holder) {
    this.#holder = holder;
  }

  /** Makes the next report of a group due at once, as its coordinator awaits an acknowledgement. */
  forceReport(group: string): void {
    this.#reporter.forceReport(group);
  }

  /** Sends the reports that are due; returns when the next one is due, null for never. */
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
      const status = { coordinator: coordinator.incarnation, isShort, nowMs };
      const { isDue, dueAtMs } = this.#reporter.checkDue(demand, status);
      if (isDue) send(coordinator.memberId, demand);
      if (dueAtMs !== null) nextAtMs = Math.min(nextAtMs ?? Infinity, dueAtMs);
    }
    return nextAtMs;
  }

  /** Groups the loads by service and, over all services, by team. */
  #loadsByGroup(loads: readonly ServiceLoad[], routes: DemandRoutes): LoadsByGroup {
    const byGroup = new Map<string, ServiceLoad[]>();
    for (const load of loads) {
      push(byGroup, groups.teamGroup(load.team), load);
      push(byGroup, groups.serviceGroup(load.service), this.#startableOf(load, routes));
    }
    return byGroup;
  }

  /**
   * Limits the waiting requests that need slots to those that the team's free permits let start.
   */
  #startableOf(load: ServiceLoad, routes: DemandRoutes): ServiceLoad {
    const team = groups.teamGroup(load.team);
    if (!routes.groups.has(team)) return load;
    const waiting = Math.min(load.waiting, this.#holder.freeCount(team));
    return { ...load, waiting, urgentWaiting: Math.min(load.urgentWaiting, waiting) };
  }

  /**
   * Whether a group has or had a coordinator. The running requests of a team without a limit are
   * only counted, in case it gets a limit.
   */
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

  /** Whether more requests wait than permits of the group are free. */
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
