/**
 * The coordinator of one group of resources for one term (an epoch). It first collects a report of
 * the held permits (concurrency tokens) from every listed member, then grants permits to them.
 *
 * @module
 */
import * as allocation from "./allocation.ts";
import type * as groupPlan from "./group_plan.ts";
import type * as holders from "./holder.ts";
import * as ledgers from "./ledger.ts";
import * as takeovers from "./takeover.ts";
import * as targetSenders from "./target_sender.ts";
import * as witnesses from "./witness.ts";
import type * as targets from "../sharing/targets.ts";

/** A member in the member list. */
export interface MemberRef {
  readonly memberId: string;
  readonly incarnation: string;
}

/** An incarnation that has been removed from the member list. */
export interface FenceRef {
  readonly incarnation: string;
  /** Whether the member left by itself without running requests, so that it holds no permits. */
  readonly clean: boolean;
}

/** The member list and fences of the head that the coordinator uses. */
export interface MemberView {
  readonly members: readonly MemberRef[];
  readonly fences: readonly FenceRef[];
  /** The incarnation of the witness; null while the coordinator is the only member. */
  readonly witness: string | null;
}

/** A member's report of the permits that it holds and of the demand of its teams. */
export interface GroupDemand {
  /** The highest term that the member has promised to. */
  readonly term: number;
  readonly holdings: readonly Omit<holders.Holding, "total">[];
  readonly teams: readonly targets.TeamLoad[];
}

/** A record to send to a witness, for an upper bound of what the coordinator itself holds. */
export interface OutgoingRecord {
  readonly to: string;
  readonly record: witnesses.WitnessRecord;
}

/** The messages that the coordinator wants sent. Map keys and `to` are incarnations. */
export interface Effects {
  readonly reportRequestsTo: readonly string[];
  readonly grants: readonly { readonly to: string; readonly grant: holders.Grant }[];
  readonly records: readonly OutgoingRecord[];
  /** How many requests of each team an entry should run, for entries that need an update. */
  readonly targets: targets.Targets;
  /** When to advance the coordinator again if no event arrives before; null for never. */
  readonly wakeAtMs: number | null;
}

/**
 * Switches that disable single steps of the protocol. The model test sets them to show that the
 * limits can be exceeded without the step; production code sets none.
 */
export interface CoordinatorVariant extends ledgers.LedgerVariant {
  /** Uses a raised allotment of its own before the witness has acknowledged the record of it. */
  readonly skipsWitness?: boolean;
  /** Grants the permits of a fenced incarnation again at once. */
  readonly skipsQuarantine?: boolean;
  /** Grants without waiting for the reports of the listed members. */
  readonly skipsReports?: boolean;
  /** Assumes that permits which no listed member reports are not in use. */
  readonly ignoresUnreportedPermits?: boolean;
  /** Answers report requests of coordinators of outdated member lists. */
  readonly answersOutdatedCoordinators?: boolean;
}

/** The identity of a coordinator and the planner that divides its permits. */
export interface CoordinatorOptions {
  readonly group: string;
  readonly term: number;
  readonly incarnation: string;
  readonly planner: groupPlan.NeedPlanner;
  readonly variant?: CoordinatorVariant;
}

/** The time after which messages without an answer are sent again. */
export const RESEND_MS = 200;
/** The interval in which permits are divided anew while demand exceeds the available permits. */
export const ROTATION_MS = 50;
/** The half-life of the decaying maximum of a member's need. */
const NEED_HALF_LIFE_MS = 1_000;

/**
 * The coordinator's state machine. The caller passes events in, then calls
 * {@link Coordinator.advance} to plan grants and to collect the messages to send.
 */
export class Coordinator {
  readonly group: string;
  readonly term: number;
  readonly #incarnation: string;
  readonly #planner: groupPlan.NeedPlanner;
  readonly #variant: CoordinatorVariant;
  readonly #totals = new Map<string, number>();
  /** The highest configured total of each resource during this term. */
  readonly #highestTotals = new Map<string, number>();
  readonly #ledgers = new Map<string, ledgers.Ledger>();
  readonly #ownRecords = new Map<string, witnesses.OwnAllotmentRecords>();
  readonly #loads = new Map<string, Omit<groupPlan.MemberLoad, "held">>();
  readonly #recentNeeds = new Map<string, number>();
  readonly #quarantined = new Set<string>();
  /** The quarantined incarnations that were fenced before this coordinator became active. */
  readonly #inherited = new Set<string>();
  /** Resources whose ledgers have been initialized from the members' reports. */
  readonly #openedResources = new Set<string>();
  #members = new Map<string, MemberRef>();
  #takeover: takeovers.Takeover | null = null;
  #witness: string | null = null;
  #isActive = false;
  /**
   * The sequence number of the latest grant. All resources share it, so that the numbers keep
   * increasing if a resource is removed and added again.
   */
  #grantSeq = 0;
  #advancedAtMs = 0;
  readonly #targetSender = new targetSenders.TargetSender();

  constructor(options: CoordinatorOptions) {
    this.group = options.group;
    this.term = options.term;
    this.#incarnation = options.incarnation;
    this.#planner = options.planner;
    this.#variant = options.variant ?? {};
  }

  /** The members of the current member list, by incarnation. */
  get members(): ReadonlyMap<string, MemberRef> {
    return this.#members;
  }

  /** Whether every listed member has reported, so that the coordinator may grant permits. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Fenced incarnations whose permits count as in use until {@link endQuarantine} is called. */
  get quarantined(): ReadonlySet<string> {
    return this.#quarantined;
  }

  /** The ledger of a resource, for status pages and checks. */
  ledgerOf(resource: string): ledgers.Ledger | undefined {
    return this.#ledgers.get(resource);
  }

  /** Sets the configured totals. Grants of resources that are no longer configured are revoked. */
  setTotals(totals: ReadonlyMap<string, number>): void {
    this.#totals.clear();
    for (const [resource, total] of totals) {
      this.#totals.set(resource, total);
      const highest = this.#highestTotals.get(resource) ?? 0;
      this.#highestTotals.set(resource, Math.max(highest, total));
    }
    for (const [resource, ledger] of this.#ledgers) ledger.setTotal(totals.get(resource) ?? 0);
    if (!this.#isActive || this.#takeover === null) return;
    for (const resource of totals.keys()) {
      if (!this.#ledgers.has(resource)) this.#openLedger(resource, this.#takeover);
    }
  }

  /**
   * Applies a member list. The first call must pass the list that defines the coordinator's term.
   */
  setView(view: MemberView): void {
    const listed = new Map(view.members.map((member) => [member.incarnation, member]));
    this.#witness = view.witness;
    for (const records of this.#ownRecords.values()) records.retainOnly(new Set(listed.keys()));
    if (this.#takeover === null) this.#start(listed, view.fences);
    const removed = [...this.#members.values()].filter((member) => !listed.has(member.incarnation));
    this.#members = listed;
    for (const member of removed) this.#removeMember(member.incarnation, view.fences);
    if (this.#isActive) { for (const member of listed.values()) this.#openAccounts(member); }
    this.#activateIfReported();
  }

  #start(listed: Map<string, MemberRef>, fences: readonly FenceRef[]): void {
    this.#members = listed;
    this.#takeover = new takeovers.Takeover(this.#variant.skipsReports ? [] : listed.keys());
    for (const fence of fences) {
      if (!fence.clean && !listed.has(fence.incarnation)) this.#quarantine(fence.incarnation);
    }
  }

  #quarantine(incarnation: string): void {
    if (this.#variant.skipsQuarantine) return;
    this.#quarantined.add(incarnation);
    if (!this.#isActive) this.#inherited.add(incarnation);
  }

  /**
   * Closes the accounts of a member that is no longer listed. A member that left cleanly holds
   * nothing; any other may hold up to its bound in the ledger, which is quarantined.
   */
  #removeMember(incarnation: string, fences: readonly FenceRef[]): void {
    const isClean = fences.some((fence) => fence.incarnation === incarnation && fence.clean);
    this.#takeover?.removeMember(incarnation);
    this.#recentNeeds.delete(incarnation);
    this.#loads.delete(incarnation);
    this.#targetSender.forget(incarnation);
    for (const ledger of this.#ledgers.values()) {
      const bound = ledger.close(incarnation);
      if (!isClean && !this.#variant.skipsQuarantine) {
        ledger.quarantine.addKnown(incarnation, bound);
      }
    }
    if (!isClean) this.#quarantine(incarnation);
  }

  /** Frees the permits of a fenced incarnation, whose last request must have ended by now. */
  endQuarantine(incarnation: string): void {
    this.#quarantined.delete(incarnation);
    this.#inherited.delete(incarnation);
    for (const ledger of this.#ledgers.values()) ledger.quarantine.release(incarnation);
  }

  /** Handles a member's report for this term; further reports of the same member are ignored. */
  onReport(incarnation: string, report: takeovers.GroupReport): void {
    this.#takeover?.onReport(incarnation, report);
    this.#activateIfReported();
  }

  #activateIfReported(): void {
    if (this.#isActive || this.#takeover?.isComplete !== true) return;
    this.#isActive = true;
    const resources = new Set([...this.#totals.keys(), ...this.#takeover.resources()]);
    for (const resource of resources) this.#openLedger(resource, this.#takeover);
  }

  /**
   * Initializes a resource's ledger from the members' reports. Permits of the total that no listed
   * member reports may still be in use by incarnations fenced earlier, so they are quarantined, up
   * to the known bounds of these incarnations.
   */
  #openLedger(resource: string, takeover: takeovers.Takeover): void {
    const ledger = this.#ledgerOf(resource);
    const { held, highestTotal } = takeover.heldOf(resource);
    const total = Math.max(this.#highestTotals.get(resource) ?? 0, highestTotal);
    let reported = 0;
    for (const [incarnation, count] of this.#openedResources.has(resource) ? [] : held) {
      const account = ledger.accountOf(incarnation);
      if (account === undefined) continue;
      account.bound = count;
      account.allotment = count;
      reported += count;
    }
    this.#openedResources.add(resource);
    for (const incarnation of this.#inherited) {
      ledger.quarantine.addInherited(incarnation, takeover.boundOf(incarnation, resource));
    }
    ledger.quarantine.setUnreported(this.#variant.ignoresUnreportedPermits ? 0 : total - reported);
  }

  #ledgerOf(resource: string): ledgers.Ledger {
    let ledger = this.#ledgers.get(resource);
    if (ledger === undefined) {
      ledger = new ledgers.Ledger(resource, {
        total: this.#totals.get(resource) ?? 0,
        nextSeq: () => this.#grantSeq += 1,
        variant: this.#variant,
      });
      this.#ledgers.set(resource, ledger);
      if (!this.#ownRecords.has(resource)) {
        this.#ownRecords.set(resource, new witnesses.OwnAllotmentRecords());
      }
      for (const member of this.#members.values()) {
        ledger.open(member.memberId, { incarnation: member.incarnation, held: 0 });
      }
    }
    return ledger;
  }

  #openAccounts(member: MemberRef): void {
    for (const ledger of this.#ledgers.values()) {
      if (ledger.accountOf(member.incarnation) !== undefined) continue;
      ledger.open(member.memberId, { incarnation: member.incarnation, held: 0 });
    }
  }

  /**
   * Handles a member's report of its holdings and demand. Holdings reported under another term do
   * not acknowledge grants of this one.
   */
  onDemand(incarnation: string, demand: GroupDemand): void {
    if (!this.#members.has(incarnation)) return;
    let inUse = 0;
    for (const holding of demand.holdings) {
      inUse += holding.inUse;
      const account = this.#ledgers.get(holding.resource)?.accountOf(incarnation);
      if (account === undefined) continue;
      account.inUse = holding.inUse;
      if (demand.term === this.term) {
        this.#ledgers.get(holding.resource)!.acknowledge(account, holding);
      }
    }
    this.#loads.set(incarnation, { incarnation, inUse, teams: demand.teams });
    this.#targetSender.recordDemandReport(incarnation);
  }

  /** Handles a witness's acknowledgement that it has stored a record. */
  onRecorded(incarnation: string, options: { resource: string; seq: number }): void {
    const records = this.#ownRecords.get(options.resource);
    records?.acknowledge(incarnation, { seq: options.seq, witness: this.#witness });
  }

  /** Plans new allotments and returns the messages to send now, including repeats. */
  advance(nowMs: number): Effects {
    if (!this.#isActive) return this.#requestReports(nowMs);
    const elapsedMs = nowMs - this.#advancedAtMs;
    this.#advancedAtMs = nowMs;
    const planned = this.#plan(nowMs, elapsedMs);
    this.#dropEmptyLedgers();
    const records = this.#dueRecords(nowMs);
    const grants = this.#dueGrants(nowMs);
    return {
      reportRequestsTo: [],
      grants,
      records,
      targets: this.#targetSender.due(planned.targets ?? new Map(), nowMs),
      wakeAtMs: this.#wakeAtMs(nowMs, planned.isContended),
    };
  }

  #requestReports(nowMs: number): Effects {
    const due = this.#takeover?.dueRequests(nowMs, RESEND_MS) ?? [];
    const wakeAtMs = nowMs + RESEND_MS;
    return { reportRequestsTo: due, grants: [], records: [], targets: new Map(), wakeAtMs };
  }

  #plan(nowMs: number, elapsedMs: number): groupPlan.GroupNeeds {
    const resources = [...this.#ledgers.values()].map((ledger) => ({
      resource: ledger.resource,
      available: ledger.grantable(),
      free: ledger.unallocated(),
    }));
    const available = resources.reduce((sum, resource) => sum + resource.available, 0);
    const loads = [...this.#loads.values()].map((load) => ({
      ...load,
      held: this.#totalBoundOf(load.incarnation),
    }));
    const planned = this.#planner.plan(available, { loads, nowMs });
    const needs = [...this.#members.keys()].map((incarnation) =>
      this.#memberNeed(incarnation, { need: planned.needs.get(incarnation) ?? 0, elapsedMs })
    );
    const counts = allocation.planCounts(available, needs);
    const rows = allocation.spreadCounts(counts, {
      resources,
      cellOf: (incarnation, resource) => this.#cellOf(incarnation, resource),
    });
    this.#grantRows(rows);
    return planned;
  }

  #totalBoundOf(incarnation: string): number {
    let bound = 0;
    for (const ledger of this.#ledgers.values()) bound += ledger.accountOf(incarnation)?.bound ?? 0;
    return bound;
  }

  #memberNeed(
    incarnation: string,
    options: { need: number; elapsedMs: number },
  ): allocation.MemberNeed {
    const decay = 0.5 ** (options.elapsedMs / NEED_HALF_LIFE_MS);
    const recentNeed = Math.max(options.need, (this.#recentNeeds.get(incarnation) ?? 0) * decay);
    this.#recentNeeds.set(incarnation, recentNeed);
    let allotment = 0;
    for (const ledger of this.#ledgers.values()) {
      allotment += ledger.accountOf(incarnation)?.allotment ?? 0;
    }
    return { incarnation, need: options.need, recentNeed, allotment };
  }

  #cellOf(incarnation: string, resource: string): allocation.Cell {
    const account = this.#ledgers.get(resource)?.accountOf(incarnation);
    return { allotment: account?.allotment ?? 0, inUse: account?.inUse ?? 0 };
  }

  /** Applies lower allotments before raises, so that raises can use all unallocated permits. */
  #grantRows(rows: ReadonlyMap<string, ReadonlyMap<string, number>>): void {
    const raises: (() => void)[] = [];
    for (const [incarnation, row] of rows) {
      for (const [resource, allotment] of row) {
        const ledger = this.#ledgers.get(resource)!;
        const account = ledger.accountOf(incarnation);
        if (account === undefined || account.allotment === allotment) continue;
        if (allotment < account.allotment) ledger.grant(account, allotment);
        else raises.push(() => ledger.grant(account, allotment));
      }
    }
    for (const raise of raises) raise();
  }

  #dropEmptyLedgers(): void {
    for (const [resource, ledger] of this.#ledgers) {
      if (this.#totals.has(resource) || !ledger.isEmpty()) continue;
      this.#ledgers.delete(resource);
    }
  }

  #dueRecords(nowMs: number): OutgoingRecord[] {
    const due: OutgoingRecord[] = [];
    for (const [resource, ledger] of this.#ledgers) {
      const bound = ledger.accountOf(this.#incarnation)?.bound ?? 0;
      const records = this.#ownRecords.get(resource)!;
      const options = { bound, nowMs, resendMs: RESEND_MS };
      for (const { incarnation, allotment, seq } of records.due(this.#witness, options)) {
        const record = { group: this.group, resource, term: this.term, allotment, seq };
        due.push({ to: incarnation, record });
      }
    }
    return due;
  }

  #dueGrants(nowMs: number): Effects["grants"] {
    const grants: { to: string; grant: holders.Grant }[] = [];
    for (const [resource, ledger] of this.#ledgers) {
      for (const account of ledger.accounts()) {
        if (account.acknowledgedSeq === account.grantSeq) continue;
        if (account.sentAtMs !== null && nowMs - account.sentAtMs < RESEND_MS) continue;
        if (!this.#canSend(account, resource)) continue;
        account.sentAtMs = nowMs;
        const { allotment, grantSeq } = account;
        const total = ledger.total;
        const grant = { group: this.group, resource, term: this.term, allotment, grantSeq, total };
        grants.push({ to: account.incarnation, grant });
      }
    }
    return grants;
  }

  /**
   * A grant to the coordinator itself is held back until the witness has acknowledged its record.
   */
  #canSend(account: ledgers.Account, resource: string): boolean {
    if (account.incarnation !== this.#incarnation || this.#variant.skipsWitness) return true;
    return account.allotment <= (this.#ownRecords.get(resource)?.usableAllotment() ?? 0);
  }

  #wakeAtMs(nowMs: number, isContended: boolean): number | null {
    if (isContended) return nowMs + ROTATION_MS;
    return this.#hasUnacknowledged() ? nowMs + RESEND_MS : null;
  }

  #hasUnacknowledged(): boolean {
    for (const ledger of this.#ledgers.values()) {
      for (const account of ledger.accounts()) {
        if (account.acknowledgedSeq !== account.grantSeq) return true;
      }
    }
    for (const resource of this.#ledgers.keys()) {
      if (this.#ownRecords.get(resource)?.hasUnacknowledged()) return true;
    }
    return false;
  }
}
