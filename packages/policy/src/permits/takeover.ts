/**
 * The reports that a new coordinator collects before it grants permits: one from every listed
 * member, and upper bounds of what fenced incarnations hold.
 *
 * @module
 */

/**
 * A member's report for one group: its held permits, and the records that it stores as a witness.
 */
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

/** Collects the reports of one term. */
export class Takeover {
  readonly #awaited: Set<string>;
  readonly #reports = new Map<string, GroupReport>();
  /** Reports of members that were fenced before all members had reported. */
  readonly #removedReports = new Map<string, GroupReport>();
  readonly #requestedAtMs = new Map<string, number>();

  constructor(awaited: Iterable<string>) {
    this.#awaited = new Set(awaited);
  }

  /** Whether every listed member has reported. */
  get isComplete(): boolean {
    return this.#awaited.size === 0;
  }

  /** Stores a report; later reports of the same member are ignored. */
  onReport(incarnation: string, report: GroupReport): void {
    if (this.#awaited.delete(incarnation)) this.#reports.set(incarnation, report);
  }

  /**
   * Stops waiting for a member that is no longer listed; its report remains a bound of its permits.
   */
  removeMember(incarnation: string): void {
    const report = this.#reports.get(incarnation);
    if (report !== undefined) this.#removedReports.set(incarnation, report);
    this.#awaited.delete(incarnation);
    this.#reports.delete(incarnation);
  }

  /** The incarnations to send a report request now; requests are repeated every `resendMs`. */
  dueRequests(nowMs: number, resendMs: number): readonly string[] {
    const due = [...this.#awaited].filter((incarnation) =>
      nowMs - (this.#requestedAtMs.get(incarnation) ?? -Infinity) >= resendMs
    );
    for (const incarnation of due) this.#requestedAtMs.set(incarnation, nowMs);
    return due;
  }

  /** All resources that a listed member has reported. */
  resources(): ReadonlySet<string> {
    const resources = new Set<string>();
    for (const report of this.#reports.values()) {
      for (const holding of report.holdings) resources.add(holding.resource);
    }
    return resources;
  }

  /**
   * The permits of a resource that listed members hold, and the highest total that they reported.
   */
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

  /**
   * An upper bound of the permits that a fenced incarnation holds: from its own report, or else
   * from the witnesses' records; null if neither exists.
   */
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
