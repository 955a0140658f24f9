/**
 * Decides when a member reports its holdings and demand to coordinators. Acknowledgements of grants
 * and new shortages are reported at once, other changes are throttled, and unchanged reports are
 * repeated in case a message was lost.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** A member's report of its holdings and demand in one group. */
export type GroupDemand = peer.PermitDemand["groups"][number];

/** The interval in which a report of a shortage is repeated until the shortage ends. */
export const SHORTAGE_REPEAT_MS = 200;
/**
 * The minimum time between reports of changed demand during a shortage or after demand decreased.
 */
export const SHORTAGE_SPACING_MS = 50;
/** The delay of reports of other changes, and of the first repeats after a change. */
export const REFRESH_MS = 500;
/** The interval of further repeats, as long as permits are held or needed. */
export const SETTLED_REFRESH_MS = 60_000;
/** How many repeats of an unchanged report use {@link REFRESH_MS}, in case messages are lost. */
const QUICK_REPEATS = 2;

interface ReportedDemand {
  readonly demand: GroupDemand;
  readonly coordinator: string;
  readonly atMs: number;
  readonly isShort: boolean;
  readonly repeats: number;
}

/** Keeps the latest report of each group and decides when the next one is due. */
export class DemandReporter {
  readonly #reported = new Map<string, ReportedDemand>();
  readonly #forced = new Set<string>();

  /** Makes the next report of a group due at once, as its coordinator awaits an acknowledgement. */
  forceReport(group: string): void {
    this.#forced.add(group);
  }

  /** The groups with an earlier report that may have to be repeated or updated. */
  groups(): Iterable<string> {
    return this.#reported.keys();
  }

  /** Whether a forced report is pending. */
  get hasForced(): boolean {
    return this.#forced.size > 0;
  }

  /**
   * Returns whether the demand has to be reported now, and records it as reported if so. `dueAtMs`
   * is when the next report is due if the demand stays the same; null for never.
   */
  checkDue(
    demand: GroupDemand,
    options: { coordinator: string; isShort: boolean; nowMs: number },
  ): { isDue: boolean; dueAtMs: number | null } {
    const last = this.#reported.get(demand.group);
    const dueAtMs = this.#dueAtMs(last, { demand, ...options });
    const isDue = this.#forced.has(demand.group) || (dueAtMs !== null && dueAtMs <= options.nowMs);
    if (!isDue) return { isDue, dueAtMs };
    this.#forced.delete(demand.group);
    const isRepeat = last !== undefined && isSameDemand(last.demand, demand);
    this.#reported.set(demand.group, {
      demand,
      coordinator: options.coordinator,
      atMs: options.nowMs,
      isShort: options.isShort,
      repeats: isRepeat ? last.repeats + 1 : 0,
    });
    const next = this.#dueAtMs(this.#reported.get(demand.group), { demand, ...options });
    if (next === null) this.#reported.delete(demand.group);
    return { isDue, dueAtMs: next };
  }

  #dueAtMs(
    last: ReportedDemand | undefined,
    now: { demand: GroupDemand; coordinator: string; isShort: boolean },
  ): number | null {
    if (last === undefined) return isZero(now.demand) ? null : 0;
    if (last.coordinator !== now.coordinator || last.demand.term !== now.demand.term) return 0;
    const isSame = isSameDemand(last.demand, now.demand);
    if (!isSame && haveHoldingsChanged(last.demand, now.demand)) return 0;
    if (!isSame && (last.isShort || mayHaveDecreased(last.demand, now.demand))) {
      return last.atMs + SHORTAGE_SPACING_MS;
    }
    if (!isSame && now.isShort) return 0;
    if (now.isShort) return last.atMs + SHORTAGE_REPEAT_MS;
    if (!isSame || last.repeats < QUICK_REPEATS) return last.atMs + REFRESH_MS;
    return isZero(now.demand) ? null : last.atMs + SETTLED_REFRESH_MS;
  }
}

function isZero(demand: GroupDemand): boolean {
  return demand.teams.length === 0 && demand.holdings.every((holding) => holding.held === 0);
}

/**
 * Whether the held permits or the latest grants changed, so that the coordinator may free permits.
 */
function haveHoldingsChanged(last: GroupDemand, demand: GroupDemand): boolean {
  if (last.holdings.length !== demand.holdings.length) return true;
  return demand.holdings.some((holding, index) => {
    const before = last.holdings[index]!;
    return holding.resource !== before.resource || holding.held !== before.held ||
      holding.grantSeq !== before.grantSeq;
  });
}

/**
 * Whether a team's demand has ended or requests were waiting before. The coordinator may keep
 * permits from other members until it learns of the change.
 */
function mayHaveDecreased(last: GroupDemand, demand: GroupDemand): boolean {
  return last.teams.length > demand.teams.length || waitingOf(last) > 0;
}

function waitingOf(demand: GroupDemand): number {
  return demand.teams.reduce((sum, team) => sum + team.waiting, 0);
}

function isSameDemand(last: GroupDemand, demand: GroupDemand): boolean {
  if (haveHoldingsChanged(last, demand) || last.teams.length !== demand.teams.length) return false;
  const isSameUse = demand.holdings.every((holding, index) =>
    holding.inUse === last.holdings[index]!.inUse
  );
  return isSameUse && demand.teams.every((team, index) => isSameTeam(team, last.teams[index]!));
}

function isSameTeam(a: GroupDemand["teams"][number], b: GroupDemand["teams"][number]): boolean {
  return a.team === b.team && a.running === b.running && a.waiting === b.waiting &&
    a.urgentWaiting === b.urgentWaiting;
}
