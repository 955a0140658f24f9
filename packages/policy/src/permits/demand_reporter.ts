/**
 * When a member tells coordinators what it holds and needs. Answers to grants and shortage go out at
 * once; other changes wait, and what stays the same is repeated now and then.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** What a member tells of one group. */
export type GroupDemand = peer.PermitDemand["groups"][number];

/** Shortage is told again after this time until it is over. */
export const SHORTAGE_REPEAT_MS = 200;
/** While permits stay short, or needs go away, changes of demand are told with this spacing. */
export const SHORTAGE_SPACING_MS = 50;
/** Changes that hurry nobody, and repeats after a change, are told in this interval. */
export const REFRESH_MS = 500;
/** Reports without any change are repeated in this interval while anything is held or needed. */
export const SETTLED_REFRESH_MS = 60_000;
/** How often a report without change is repeated quickly, in case messages are lost. */
const QUICK_REPEATS = 2;

interface ReportedDemand {
  readonly demand: GroupDemand;
  readonly coordinator: string;
  readonly atMs: number;
  readonly isShort: boolean;
  readonly repeats: number;
}

/** Keeps what was told last of each group. */
export class DemandReporter {
  readonly #reported = new Map<string, ReportedDemand>();
  readonly #forced = new Set<string>();

  /** Has a group told at the next chance; its coordinator waits for the answer to a grant. */
  forceReport(group: string): void {
    this.#forced.add(group);
  }

  /** The groups that were told of and may have to be told of again. */
  groups(): Iterable<string> {
    return this.#reported.keys();
  }

  /** Groups that have to be told at the next chance. */
  get hasForced(): boolean {
    return this.#forced.size > 0;
  }

  /** Whether the demand is told now; when it is due otherwise, null for never. */
  checkDue(
    demand: GroupDemand,
    options: { coordinator: string; isShort: boolean; nowMs: number },
  ): { isDue: boolean; dueAtMs: number | null } {
    const told = this.#reported.get(demand.group);
    const dueAtMs = this.#dueAtMs(told, { demand, ...options });
    const isDue = this.#forced.has(demand.group) || (dueAtMs !== null && dueAtMs <= options.nowMs);
    if (!isDue) return { isDue, dueAtMs };
    this.#forced.delete(demand.group);
    const isRepeat = told !== undefined && isSameDemand(told.demand, demand);
    this.#reported.set(demand.group, {
      demand,
      coordinator: options.coordinator,
      atMs: options.nowMs,
      isShort: options.isShort,
      repeats: isRepeat ? told.repeats + 1 : 0,
    });
    const next = this.#dueAtMs(this.#reported.get(demand.group), { demand, ...options });
    if (next === null) this.#reported.delete(demand.group);
    return { isDue, dueAtMs: next };
  }

  #dueAtMs(
    told: ReportedDemand | undefined,
    now: { demand: GroupDemand; coordinator: string; isShort: boolean },
  ): number | null {
    if (told === undefined) return isZero(now.demand) ? null : 0;
    if (told.coordinator !== now.coordinator || told.demand.term !== now.demand.term) return 0;
    const isSame = isSameDemand(told.demand, now.demand);
    if (!isSame && isAnswer(told.demand, now.demand)) return 0;
    if (!isSame && (told.isShort || isLess(told.demand, now.demand))) {
      return told.atMs + SHORTAGE_SPACING_MS;
    }
    if (!isSame && now.isShort) return 0;
    if (now.isShort) return told.atMs + SHORTAGE_REPEAT_MS;
    if (!isSame || told.repeats < QUICK_REPEATS) return told.atMs + REFRESH_MS;
    return isZero(now.demand) ? null : told.atMs + SETTLED_REFRESH_MS;
  }
}

function isZero(demand: GroupDemand): boolean {
  return demand.teams.length === 0 && demand.holdings.every((holding) => holding.held === 0);
}

/** Whether the coordinator may free permits by it. */
function isAnswer(told: GroupDemand, demand: GroupDemand): boolean {
  if (told.holdings.length !== demand.holdings.length) return true;
  return demand.holdings.some((holding, index) => {
    const before = told.holdings[index]!;
    return holding.resource !== before.resource || holding.held !== before.held ||
      holding.grantSeq !== before.grantSeq;
  });
}

/** Whether a need has gone that keeps permits from others until it is told. */
function isLess(told: GroupDemand, demand: GroupDemand): boolean {
  return told.teams.length > demand.teams.length || waitingOf(told) > 0;
}

function waitingOf(demand: GroupDemand): number {
  return demand.teams.reduce((sum, team) => sum + team.waiting, 0);
}

function isSameDemand(told: GroupDemand, demand: GroupDemand): boolean {
  if (isAnswer(told, demand) || told.teams.length !== demand.teams.length) return false;
  const isSameUse = demand.holdings.every((holding, index) =>
    holding.inUse === told.holdings[index]!.inUse
  );
  return isSameUse && demand.teams.every((team, index) => isSameTeam(team, told.teams[index]!));
}

function isSameTeam(a: GroupDemand["teams"][number], b: GroupDemand["teams"][number]): boolean {
  return a.team === b.team && a.running === b.running && a.waiting === b.waiting &&
    a.urgentWaiting === b.urgentWaiting;
}
