/**
 * The coordinator of one group of resources, in one term: it collects what members hold, then grants.
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

/** A listed member. */
export interface MemberRef {
  readonly memberId: string;
  readonly incarnation: string;
}

/** A fenced incarnation. */
export interface FenceRef {
  readonly incarnation: string;
  readonly clean: boolean;
}

/** The members as the coordinator's head lists them. */
export interface MemberView {
  readonly members: readonly MemberRef[];
  readonly fences: readonly FenceRef[];
  /** The incarnation of the witness; null while the coordinator is alone. */
  readonly witness: string | null;
}

/** What a member tells of its demand. */
export interface GroupDemand {
  readonly term: number;
  readonly holdings: readonly Omit<holders.Holding, "total">[];
  readonly teams: readonly targets.TeamLoad[];
}

/** A record to send to a witness. */
export interface OutgoingRecord {
  readonly to: string;
  readonly record: witnesses.WitnessRecord;
}

/** What the coordinator wants sent. Keys and `to` are incarnations. */
export interface Effects {
  readonly reportRequestsTo: readonly string[];
  readonly grants: readonly { readonly to: string; readonly grant: holders.Grant }[];
  readonly records: readonly OutgoingRecord[];
  /** Changed targets of teams at entries. */
  readonly targets: targets.Targets;
  /** When the coordinator has to be advanced again, without any event; null for never. */
  readonly wakeAtMs: number | null;
}

/** Steps that a test may leave out to show that they matter. */
export interface CoordinatorVariant extends ledgers.LedgerVariant {
  readonly skipsWitness?: boolean;
  readonly skipsQuarantine?: boolean;
  readonly skipsReports?: boolean;
  readonly ignoresUnreportedPermits?: boolean;
  readonly answersOutdatedCoordinators?: boolean;
}

/** What a coordinator is made for. */
export interface CoordinatorOptions {
  readonly group: string;
  readonly term: number;
  readonly incarnation: string;
  readonly planner: groupPlan.NeedPlanner;
  readonly variant?: CoordinatorVariant;
}

/** Unanswered messages are sent again after this time. */
export const RESEND_MS = 200;
/** While there is not enough for all, permits are divided anew this often. */
export const ROTATION_MS = 50;
/** Recent need falls by half in this time. */
const NEED_HALF_LIFE_MS = 1_000;

/** One coordinator. Drive it by events, then call {@link Coordinator.advance}. */
export class Coordinator {
  readonly group: string;
  readonly term: number;
  readonly #incarnation: string;
  readonly #planner: groupPlan.NeedPlanner;
  readonly #variant: CoordinatorVariant;
  readonly #totals = new Map<string, number>();
  /** The highest total of each resource in this term. */
  readonly #highestTotals = new Map<string, number>();
  readonly #ledgers = new Map<string, ledgers.Ledger>();
  readonly #ownRecords = new Map<string, witnesses.OwnAllotmentRecords>();
  readonly #loads = new Map<string, Omit<groupPlan.MemberLoad, "held">>();
  readonly #recentNeeds = new Map<string, number>();
  readonly #quarantined = new Set<string>();
  /** Those of the quarantined that were fenced before this coordinator granted anything. */
  readonly #inherited = new Set<string>();
  /** Resources whose reports have been taken over. */
  readonly #openedResources = new Set<string>();
  #members = new Map<string, MemberRef>();
  #takeover: takeovers.Takeover | null = null;
  #witness: string | null = null;
  #isActive = false;
  /** Numbers the grants of all resources, so that a resource that returns goes on counting. */
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

  /** The member list that the coordinator follows. */
  get members(): ReadonlyMap<string, MemberRef> {
    return this.#members;
  }

  /** Whether every member has reported, so that permits are granted. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Incarnations whose permits still count as in use; the driver ends them by {@link endQuarantine}. */
  get quarantined(): ReadonlySet<string> {
    return this.#quarantined;
  }

  /** The ledger of a resource, for status pages and checks. */
  ledgerOf(resource: string): ledgers.Ledger | undefined {
    return this.#ledgers.get(resource);
  }

  /** Sets the configured totals; resources that are no longer there are taken back. */
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

  /** Takes over a member list; the first one is that of the coordinator's term. */
  setView(view: MemberView): void {
    const listed = new Map(view.members.map((member) => [member.incarnation, member]));
    this.#witness = view.witness;
    for (const records of this.#ownRecords.values()) records.retainOnly(new Set(listed.keys()));
    if (this.#takeover === null) this.#start(listed, view.fences);
    const gone = [...this.#members.values()].filter((member) => !listed.has(member.incarnation));
    this.#members = listed;
    for (const member of gone) this.#removeMember(member.incarnation, view.fences);
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

  /** A member is gone: clean leavers hold nothing, others up to what the ledger says. */
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

  /** The last request of a fenced incarnation is over. */
  endQuarantine(incarnation: string): void {
    this.#quarantined.delete(incarnation);
    this.#inherited.delete(incarnation);
    for (const ledger of this.#ledgers.values()) ledger.quarantine.release(incarnation);
  }

  /** Takes over a member's answer to the report request of this term; the first one counts. */
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

  /** Permits that nobody reports may be held by those who were fenced before. */
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

  /** Takes over what a member holds and needs. A higher promised term means that this one is over. */
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

  /** A witness has kept a record. */
  onRecorded(incarnation: string, options: { resource: string; seq: number }): void {
    const records = this.#ownRecords.get(options.resource);
    records?.acknowledge(incarnation, { seq: options.seq, witness: this.#witness });
  }

  /** Plans and collects what has to be sent. */
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

  /** Lower allotments first, so that raises find what is free. */
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

  /** The coordinator's own allotment waits for the witness. */
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
