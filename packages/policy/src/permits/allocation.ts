/**
 * Plans the allotments of a group: first how many permits each member needs, then how many idle
 * permits it keeps in proportion to its recent need, then how its count is spread over the group's
 * resources.
 *
 * @module
 */

/** The permits of a group that one member needs, and those that it was last granted. */
export interface MemberNeed {
  readonly incarnation: string;
  /** How many requests the member should be able to run now. */
  readonly need: number;
  /** The decaying maximum of the recent needs. */
  readonly recentNeed: number;
  /** The sum of the member's allotments of the group's resources. */
  readonly allotment: number;
}

/**
 * The fraction of the permits beyond all needs that is granted to members ahead of need. The rest
 * stays with the coordinator, which can grant it at once.
 */
const IDLE_ALLOCATION_RATIO = 0.75;

/** A member with a lower recent need gets no idle permits. */
const MIN_RECENT_NEED = 0.05;

/** Idle permits that a member may get beyond its recent need. */
const MIN_IDLE_PERMITS = 2;

/**
 * Plans how many permits each member should hold. The sum of the needs must not exceed `available`.
 * The allotments stay as they are while they cover all needs.
 */
export function planCounts(
  available: number,
  members: readonly MemberNeed[],
): Map<string, number> {
  const allotted = members.reduce((sum, member) => sum + member.allotment, 0);
  const hasShortfall = members.some((member) => member.need > member.allotment);
  if (!hasShortfall && allotted <= available) {
    return new Map(members.map((member) => [member.incarnation, member.allotment]));
  }
  const counts = new Map(members.map((member) => [member.incarnation, member.need]));
  const needed = members.reduce((sum, member) => sum + member.need, 0);
  allocateIdle(Math.floor((available - needed) * IDLE_ALLOCATION_RATIO), { members, counts });
  return counts;
}

/**
 * Adds idle permits in proportion to recent need, rounded up for the members with the highest need.
 */
function allocateIdle(
  idle: number,
  plan: { members: readonly MemberNeed[]; counts: Map<string, number> },
): void {
  const receivers = plan.members.filter((member) => member.recentNeed >= MIN_RECENT_NEED);
  receivers.sort((a, b) => b.recentNeed - a.recentNeed || (a.incarnation < b.incarnation ? -1 : 1));
  const totalNeed = receivers.reduce((sum, member) => sum + member.recentNeed, 0);
  let remaining = Math.max(0, idle);
  for (const member of receivers) {
    const share = Math.ceil(idle * member.recentNeed / totalNeed);
    const max = Math.ceil(member.recentNeed) + MIN_IDLE_PERMITS;
    const extra = Math.max(0, Math.min(share, max, remaining));
    plan.counts.set(member.incarnation, member.need + extra);
    remaining -= extra;
  }
}

/** One resource of a group with the permits that can be granted to listed members. */
export interface ResourceCapacity {
  readonly resource: string;
  readonly available: number;
  /** The permits that no member holds. The others become free only as members return them. */
  readonly free: number;
}

/** A cell of the matrix of members and resources: the latest allotment and the permits in use. */
export interface Cell {
  readonly allotment: number;
  readonly inUse: number;
}

/** Returns the cell of a member and a resource. */
export type CellReader = (incarnation: string, resource: string) => Cell;

/**
 * Spreads each member's count over the resources with as few changes as possible. Idle permits are
 * revoked first, and new ones come from the resource with the most remaining permits. The keys of
 * the result are the incarnation, then the resource.
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

/** The allotments being planned: a row for each member, which starts from its current permits. */
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

  /**
   * Requests that run above a lowered allotment count as well, so that the member's idle permits of
   * other resources are revoked first.
   */
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

  /**
   * Revokes permits beyond each resource's capacity. Each one is taken from the member with the
   * most idle permits of the resource.
   */
  trimResources(): void {
    for (const { resource } of this.#resources) {
      while ((this.#remaining.get(resource) ?? 0) < 0) {
        const source = maxBy(
          [...this.rows].filter(([, row]) => (row.get(resource) ?? 0) > 0),
          ([incarnation, row]) => this.#idleOf(incarnation, { row, resource }),
        );
        if (source === undefined) break;
        this.#move(source[1], resource, -1);
      }
    }
  }

  /**
   * Revokes permits beyond each member's count. Each one is taken from the resource of which the
   * member has the most idle permits.
   */
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

  /** Adds the permits that members lack, one at a time for each member in turn. */
  fill(): void {
    let hasProgress = true;
    while (hasProgress) {
      hasProgress = false;
      for (const [incarnation, row] of this.rows) {
        if (sumOf(row) < (this.#counts.get(incarnation) ?? 0) && this.#addOne(row)) {
          hasProgress = true;
        }
      }
    }
  }

  /**
   * Adds a permit of a resource with a free one, or else of one whose permits are being revoked.
   */
  #addOne(row: Map<string, number>): boolean {
    const available = [...this.#remaining].filter(([, remaining]) => remaining > 0);
    const free = available.filter(([resource]) => (this.#free.get(resource) ?? 0) > 0);
    const chosen = maxBy(
      free.length > 0 ? free : available,
      ([resource, remaining]) => remaining - (row.get(resource) ?? 0) * TIE_WEIGHT,
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

/** Breaks ties between resources in favor of the one of which the member has the fewest permits. */
const TIE_WEIGHT = 1e-3;

function sumOf(row: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of row.values()) sum += count;
  return sum;
}

/** Returns the item with the highest value, the first one on a tie; undefined for an empty list. */
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
