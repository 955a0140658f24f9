/**
 * What a new coordinator collects before it grants: a report of every listed member, and the bounds of
 * those that were fenced.
 *
 * @module
 */

/** What a member answered to a report request. */
export interface GroupReport {
  readonly holdings: readonly {
    readonly resource: string;
    readonly held: number;
    readonly total: number;
  }[];
  readonly records: readonly {
    readonly resource: string;
    readonly incarnation: string;
    readonly allotment: number;
  }[];
}

/** The reports of one term. */
export class Takeover {
  readonly #awaited: Set<string>;
  readonly #reports = new Map<string, GroupReport>();
  /** What members reported that were fenced before all had reported. */
  readonly #removedReports = new Map<string, GroupReport>();
  readonly #requestedAtMs = new Map<string, number>();

  constructor(awaited: Iterable<string>) {
    this.#awaited = new Set(awaited);
  }

  /** Whether every listed member has reported. */
  get isComplete(): boolean {
    return this.#awaited.size === 0;
  }

  /** Takes a report; the first of each member counts. */
  onReport(incarnation: string, report: GroupReport): void {
    if (this.#awaited.delete(incarnation)) this.#reports.set(incarnation, report);
  }

  /** A member is no longer listed; what it reported still bounds what it holds. */
  removeMember(incarnation: string): void {
    const report = this.#reports.get(incarnation);
    if (report !== undefined) this.#removedReports.set(incarnation, report);
    this.#awaited.delete(incarnation);
    this.#reports.delete(incarnation);
  }

  /** The incarnations to ask now, again after `resendMs` without an answer. */
  dueRequests(nowMs: number, resendMs: number): readonly string[] {
    const due = [...this.#awaited].filter((incarnation) =>
      nowMs - (this.#requestedAtMs.get(incarnation) ?? -Infinity) >= resendMs
    );
    for (const incarnation of due) this.#requestedAtMs.set(incarnation, nowMs);
    return due;
  }

  /** All resources that anybody reported. */
  resources(): ReadonlySet<string> {
    const resources = new Set<string>();
    for (const report of this.#reports.values()) {
      for (const holding of report.holdings) resources.add(holding.resource);
    }
    return resources;
  }

  /** What listed members hold of a resource, and the highest total under which it was granted. */
  heldOf(resource: string): { held: ReadonlyMap<string, number>; highestTotal: number } {
    const held = new Map<string, number>();
    let highestTotal = 0;
    for (const [incarnation, report] of this.#reports) {
      const holding = report.holdings.find((item) => item.resource === resource);
      held.set(incarnation, holding?.held ?? 0);
      highestTotal = Math.max(highestTotal, holding?.total ?? 0);
    }
    return { held, highestTotal };
  }

  /** The most that a fenced incarnation holds: its own report, or a witness's record; else null. */
  boundOf(incarnation: string, resource: string): number | null {
    const departed = this.#removedReports.get(incarnation);
    if (departed !== undefined) {
      return departed.holdings.find((item) => item.resource === resource)?.held ?? 0;
    }
    const records = [...this.#reports.values()].flatMap((report) => report.records);
    const allotments = records
      .filter((record) => record.incarnation === incarnation && record.resource === resource)
      .map((record) => record.allotment);
    return allotments.length === 0 ? null : Math.min(...allotments);
  }
}
