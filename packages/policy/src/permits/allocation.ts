/**
 * How the permits of a group are planned: first what members need, then idle permits near recent
 * need, then over the group's resources.
 *
 * @module
 */

/** What one member needs of a group, and what it was last granted. */
export interface MemberNeed {
  readonly incarnation: string;
  /** What the member should be able to run now. */
  readonly need: number;
  /** The need of the recent past. */
  readonly recentNeed: number;
  /** The sum of its allotments. */
  readonly allotment: number;
}

/** The part of the permits nobody needs that members hold ahead of need; the rest stays free. */
const IDLE_ALLOCATION_RATIO = 0.75;

/** A recent need below this counts as none. */
const MIN_RECENT_NEED = 0.05;

/** Idle permits that a member with recent need may hold beyond it. */
const MIN_IDLE_PERMITS = 2;

/**
 * Plans how many permits each member should hold. The needs must fit the available permits. While all
 * needs are met, nothing moves.
 */
export function planCounts(
  available: number,
  members: readonly MemberNeed[],
): Map<string, number> {
  const allotted = members.reduce((sum, member) => sum + member.allotment, 0);
  const isShort = members.some((member) => member.need > member.allotment);
  if (!isShort && allotted <= available) {
    return new Map(members.map((member) => [member.incarnation, member.allotment]));
  }
  const counts = new Map(members.map((member) => [member.incarnation, member.need]));
  const needed = members.reduce((sum, member) => sum + member.need, 0);
  allocateIdle(Math.floor((available - needed) * IDLE_ALLOCATION_RATIO), { members, counts });
  return counts;
}

/** Lends idle permits in proportion to recent need; broken parts go to the highest need. */
function allocateIdle(
  idle: number,
  plan: { members: readonly MemberNeed[]; counts: Map<string, number> },
): void {
  const needy = plan.members.filter((member) => member.recentNeed >= MIN_RECENT_NEED);
  needy.sort((a, b) => b.recentNeed - a.recentNeed || (a.incarnation < b.incarnation ? -1 : 1));
  const weights = needy.reduce((sum, member) => sum + member.recentNeed, 0);
  let left = Math.max(0, idle);
  for (const member of needy) {
    const share = Math.ceil(idle * member.recentNeed / weights);
    const most = Math.ceil(member.recentNeed) + MIN_IDLE_PERMITS;
    const lent = Math.max(0, Math.min(share, most, left));
    plan.counts.set(member.incarnation, member.need + lent);
    left -= lent;
  }
}

/** One resource of a group with the permits that may be allotted of it. */
export interface ResourceCapacity {
  readonly resource: string;
  readonly available: number;
  /** Those that nobody holds now; others come back only as members answer. */
  readonly free: number;
}

/** What a member was last granted of one resource, and how much of it runs. */
export interface Cell {
  readonly allotment: number;
  readonly inUse: number;
}

/** Reads the cell of a member and a resource. */
export type CellReader = (incarnation: string, resource: string) => Cell;

/**
 * Spreads each member's count over the resources: as few changes as possible, idle permits move first,
 * and new ones come from the resource with the most left. Keys are incarnation, then resource.
 */
export function spreadCounts(
  counts: ReadonlyMap<string, number>,
  options: { resources: readonly ResourceCapacity[]; cellOf: CellReader },
): Map<string, Map<string, number>> {
  const [only, ...more] = options.resources;
  if (only !== undefined && more.length === 0) {
    return spreadOverSingleResource(counts, only.resource);
  }
  const plan = new SpreadPlan(counts, options);
  plan.trimResources();
  plan.trimMembers();
  plan.fill();
  return plan.rows;
}

function spreadOverSingleResource(
  counts: ReadonlyMap<string, number>,
  resource: string,
): Map<string, Map<string, number>> {
  const rows = new Map<string, Map<string, number>>();
  for (const [incarnation, count] of counts) rows.set(incarnation, new Map([[resource, count]]));
  return rows;
}

class SpreadPlan {
  readonly rows = new Map<string, Map<string, number>>();
  readonly #remaining = new Map<string, number>();
  readonly #free = new Map<string, number>();
  readonly #counts: ReadonlyMap<string, number>;
  readonly #resources: readonly ResourceCapacity[];
  readonly #cellOf: CellReader;

  constructor(
    counts: ReadonlyMap<string, number>,
    options: { resources: readonly ResourceCapacity[]; cellOf: CellReader },
  ) {
    this.#counts = counts;
    this.#resources = options.resources;
    this.#cellOf = options.cellOf;
    for (const { resource, available, free } of options.resources) {
      this.#remaining.set(resource, available);
      this.#free.set(resource, free);
    }
    for (const incarnation of counts.keys()) this.#copyRow(incarnation);
  }

  /** What runs above an allotment counts as well, so that idle permits elsewhere are taken back first. */
  #copyRow(incarnation: string): void {
    const row = new Map<string, number>();
    this.rows.set(incarnation, row);
    for (const { resource } of this.#resources) {
      const cell = this.#cellOf(incarnation, resource);
      this.#move(row, resource, Math.max(cell.allotment, cell.inUse));
    }
  }

  #move(row: Map<string, number>, resource: string, change: number): void {
    row.set(resource, (row.get(resource) ?? 0) + change);
    this.#remaining.set(resource, (this.#remaining.get(resource) ?? 0) - change);
  }

  /** Takes back what exceeds a resource, from the member with the most idle permits of it. */
  trimResources(): void {
    for (const { resource } of this.#resources) {
      while ((this.#remaining.get(resource) ?? 0) < 0) {
        const owner = maxBy(
          [...this.rows].filter(([, row]) => (row.get(resource) ?? 0) > 0),
          ([incarnation, row]) => this.#idleOf(incarnation, { row, resource }),
        );
        if (owner === undefined) break;
        this.#move(owner[1], resource, -1);
      }
    }
  }

  /** Takes back what exceeds a member's count, from the resource on which most of its permits idle. */
  trimMembers(): void {
    for (const [incarnation, row] of this.rows) {
      let excess = sumOf(row) - (this.#counts.get(incarnation) ?? 0);
      for (; excess > 0; excess -= 1) {
        const cell = maxBy(
          [...row].filter(([, allotment]) => allotment > 0),
          ([resource]) => this.#idleOf(incarnation, { row, resource }),
        );
        if (cell === undefined) break;
        this.#move(row, cell[0], -1);
      }
    }
  }

  /** Gives members what they lack, one permit each in turn. */
  fill(): void {
    let isMoving = true;
    while (isMoving) {
      isMoving = false;
      for (const [incarnation, row] of this.rows) {
        if (sumOf(row) < (this.#counts.get(incarnation) ?? 0) && this.#addOne(row)) {
          isMoving = true;
        }
      }
    }
  }

  /** Adds where a permit is free at once, or else where one is being taken back. */
  #addOne(row: Map<string, number>): boolean {
    const open = [...this.#remaining].filter(([, left]) => left > 0);
    const ready = open.filter(([resource]) => (this.#free.get(resource) ?? 0) > 0);
    const chosen = maxBy(
      ready.length > 0 ? ready : open,
      ([resource, left]) => left - (row.get(resource) ?? 0) * TIE_WEIGHT,
    );
    if (chosen === undefined) return false;
    this.#move(row, chosen[0], 1);
    this.#free.set(chosen[0], (this.#free.get(chosen[0]) ?? 0) - 1);
    return true;
  }

  #idleOf(incarnation: string, at: { row: Map<string, number>; resource: string }): number {
    return (at.row.get(at.resource) ?? 0) - this.#cellOf(incarnation, at.resource).inUse;
  }
}

/** Between resources with as much left, the one of which the member has least. */
const TIE_WEIGHT = 1e-3;

function sumOf(row: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of row.values()) sum += count;
  return sum;
}

/** The item with the highest value; the first of equals. */
function maxBy<TItem>(
  items: readonly TItem[],
  valueOf: (item: TItem) => number,
): TItem | undefined {
  let chosen: TItem | undefined;
  let highest = -Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value > highest) {
      chosen = item;
      highest = value;
    }
  }
  return chosen;
}
