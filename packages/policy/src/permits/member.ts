/**
 * The permit protocol of one member incarnation: the permits that it holds, the records that it
 * stores as a witness, and the coordinators that it runs. It performs no I/O: messages, the time
 * and demand go in; messages to send and the next wake-up time come out.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";
import type * as coordinators from "./coordinator.ts";
import * as coordinatorSets from "./coordinator_set.ts";
import * as memberDemands from "./member_demand.ts";
import * as groups from "./groups.ts";
import * as holders from "./holder.ts";
import * as outboxes from "./outbox.ts";
import * as witnesses from "./witness.ts";

/** The sender of a message. */
export interface Sender {
  readonly memberId: string;
  readonly incarnation: string;
}

export type { ServiceLoad } from "./member_demand.ts";

/** The permits that one running request holds. */
export interface HeldPermit {
  readonly team: string;
  readonly service: string;
  readonly backendServer: string;
  /** The resources of which the request holds one permit each. */
  readonly resources: readonly string[];
}

/** The result of one call of {@link PermitMember.advance}. */
export interface Turn {
  readonly messages: readonly outboxes.Outgoing[];
  readonly events: readonly coordinatorSets.CoordinatorEvent[];
  /** When to advance the member again if no event arrives before; null for never. */
  readonly wakeAtMs: number | null;
}

/**
 * Switches that disable single steps of the protocol. The model test sets them to show that the
 * limits can be exceeded without the step; production code sets none.
 */
export interface MemberVariant extends holders.HolderVariant, coordinators.CoordinatorVariant {}

type Handler<TMessage> = (message: TMessage, sender: Sender) => void;

/** The types of the messages of the permit protocol. */
export const PERMIT_MESSAGE_TYPES = [
  "permitReportRequest",
  "permitReport",
  "permitGrant",
  "permitDemand",
  "teamTargets",
  "witnessRequest",
  "witnessAnswer",
] as const satisfies readonly peer.MessageType[];

/** The type of a message of the permit protocol. */
export type PermitMessageType = typeof PERMIT_MESSAGE_TYPES[number];
/** A message of the permit protocol. */
export type PermitMessage = peer.MessageOf<PermitMessageType>;

type Handlers = { [TType in PermitMessageType]: Handler<peer.MessageOf<TType>> };

interface ServiceTargets {
  readonly term: number;
  readonly byTeam: ReadonlyMap<string, number>;
}

/** The permit state of one incarnation. A new incarnation must create a new object. */
export class PermitMember {
  readonly #self: Sender;
  readonly #holder: holders.Holder;
  readonly #coordinators: coordinatorSets.CoordinatorSet;
  readonly #witnessRecords = new witnesses.WitnessRecordStore();
  readonly #demand: memberDemands.MemberDemand;
  readonly #outbox = new outboxes.Outbox();
  readonly #targets = new Map<string, ServiceTargets>();
  readonly #handlers: Handlers;
  #view: coordinatorSets.PermitView | null = null;
  #memberIds = new Map<string, string>();
  #hasUpdate = false;
  #isLeaving = false;

  constructor(self: Sender, variant: MemberVariant = {}) {
    this.#self = self;
    this.#holder = new holders.Holder(variant);
    this.#demand = new memberDemands.MemberDemand(this.#holder);
    const options = { holder: this.#holder, variant };
    this.#coordinators = new coordinatorSets.CoordinatorSet(self.incarnation, options);
    this.#handlers = {
      permitReportRequest: (message, sender) => this.#onReportRequest(message, sender),
      permitReport: (message, sender) => this.#onReport(message, sender),
      permitGrant: (message) => this.#onGrant(message),
      permitDemand: (message, sender) => this.#onDemand(message, sender),
      teamTargets: (message) => this.#onTargets(message),
      witnessRequest: (message, sender) => this.#onWitnessRequest(message, sender),
      witnessAnswer: (message, sender) => this.#onWitnessAnswer(message, sender),
    };
  }

  /** The coordinator that this member runs for a group, for status pages and checks. */
  coordinatorOf(group: string): coordinators.Coordinator | undefined {
    return this.#coordinators.get(group);
  }

  /** The permits of a resource that the member holds. */
  holdingOf(resource: string): holders.Holding {
    return this.#holder.holdingOf(resource);
  }

  /** Returns and clears whether grants or targets have arrived since the last call. */
  consumeUpdateFlag(): boolean {
    const hasUpdate = this.#hasUpdate;
    this.#hasUpdate = false;
    return hasUpdate;
  }

  /** Applies a new head and the groups of its configuration. */
  setView(view: coordinatorSets.PermitView): void {
    this.#view = view;
    this.#memberIds = new Map(view.members.map((member) => [member.incarnation, member.memberId]));
    const known = new Set(this.#memberIds.keys());
    for (const fence of view.fences) known.add(fence.incarnation);
    this.#witnessRecords.retainOnly(known);
    this.#coordinators.setView(view);
  }

  /**
   * Takes one permit of the team's limit and one slot of the first backend server that has a free
   * one. Returns null, without taking either, if one of the two is not free.
   */
  take(
    request: { team: string; service: string; backendServers: readonly string[] },
  ): HeldPermit | null {
    const team = groups.teamGroup(request.team);
    const isLimited = this.#view?.groups.has(team) ?? false;
    if (isLimited && !this.#holder.hasFree(team)) return null;
    for (const backendServer of request.backendServers) {
      const slots = groups.slotsResource(request.service, backendServer);
      if (!this.#holder.take(slots)) continue;
      this.#holder.takeUnchecked(team, team);
      return {
        team: request.team,
        service: request.service,
        backendServer,
        resources: [slots, team],
      };
    }
    return null;
  }

  /** Returns the permits taken by {@link take}. */
  release(permit: HeldPermit): void {
    for (const resource of permit.resources) this.#holder.release(resource);
  }

  /**
   * How many requests of a team this entry should run; null while no targets have been received.
   */
  targetOf(service: string, team: string): number | null {
    const targets = this.#targets.get(service);
    return targets === undefined ? null : (targets.byTeam.get(team) ?? 0);
  }

  /**
   * Prepares for leaving: returns all idle permits, ignores the allotments of later grants and
   * reports no more demand.
   */
  startLeaving(): void {
    this.#isLeaving = true;
    this.#holder.startLeaving();
  }

  /** Handles a message of the permit protocol. */
  receive(message: PermitMessage, sender: Sender): void {
    const handler = this.#handlers[message.type] as Handler<PermitMessage>;
    handler(message, sender);
  }

  /** Reports demand, advances the coordinators, and returns the messages for other members. */
  advance(
    nowMs: number,
    options: { loads: readonly memberDemands.ServiceLoad[]; timing: coordinatorSets.FenceTiming },
  ): Turn {
    const messages: outboxes.Outgoing[] = [];
    let reportAtMs: number | null = null;
    for (let round = 0; round < MAX_LOCAL_ROUNDS; round += 1) {
      reportAtMs = this.#reportDemand(nowMs, this.#isLeaving ? [] : options.loads);
      this.#coordinators.advance(nowMs, {
        timing: options.timing,
        onEffects: (coordinator, effects) => this.#queueEffects(coordinator, effects),
      });
      const isSettled = this.#deliverLocal(messages);
      if (isSettled) break;
    }
    return {
      messages,
      events: this.#coordinators.drainEvents(),
      wakeAtMs: earliest([reportAtMs, this.#coordinators.wakeAtMs()]),
    };
  }

  /**
   * Handles queued messages to this member itself and moves the others to `messages`. Returns
   * whether there were no messages to itself.
   */
  #deliverLocal(messages: outboxes.Outgoing[]): boolean {
    let isSettled = true;
    let pending = this.#outbox.drain();
    while (pending.length > 0) {
      for (const outgoing of pending) {
        if (outgoing.memberId !== this.#self.memberId) messages.push(outgoing);
        else {
          isSettled = false;
          this.receive(outgoing.message as PermitMessage, this.#self);
        }
      }
      pending = this.#outbox.drain();
    }
    return isSettled;
  }

  #reportDemand(nowMs: number, loads: readonly memberDemands.ServiceLoad[]): number | null {
    if (this.#view === null) return null;
    const routes = {
      groups: this.#view.groups,
      coordinatorMemberOf: (group: string) => this.#coordinators.coordinatorMemberOf(group),
    };
    const send = (memberId: string, demand: peer.PermitDemand["groups"][number]) =>
      this.#outbox.demand(memberId, demand);
    return this.#demand.reportDue(loads, { routes, nowMs, send });
  }

  #queueEffects(coordinator: coordinators.Coordinator, effects: coordinators.Effects): void {
    const { group, term } = coordinator;
    for (const to of effects.reportRequestsTo) {
      this.#sendTo(to, (memberId) => this.#outbox.requestReport(memberId, { group, term }));
    }
    for (const { to, grant } of effects.grants) {
      this.#sendTo(to, (id) => this.#outbox.grant(id, { incarnation: to, grant }));
    }
    for (const { to, record } of effects.records) {
      this.#sendTo(to, (memberId) => this.#outbox.record(memberId, record));
    }
    const service = this.#view?.groups.get(group)?.service;
    if (service == null) return;
    for (const [to, teams] of effects.targets) {
      const targets = [...teams].map(([team, running]) => ({ team, running }));
      const message: peer.TeamTargets = { type: "teamTargets", service, term, targets };
      this.#sendTo(to, (memberId) => this.#outbox.targets(memberId, message));
    }
  }

  #sendTo(incarnation: string, send: (memberId: string) => void): void {
    const memberId = this.#memberIds.get(incarnation);
    if (memberId !== undefined) send(memberId);
  }

  #onReportRequest(message: peer.PermitReportRequest, sender: Sender): void {
    const { term } = message;
    for (const group of message.groups) {
      const holdings = this.#holder.promise(group, term);
      if (holdings === null) continue;
      const records = this.#witnessRecords.reportFor(group, term).map((record) => ({
        resource: record.resource,
        incarnation: record.incarnation,
        allotment: record.allotment,
      }));
      this.#outbox.report(sender.memberId, {
        term,
        group: { group, holdings: holdings.map(reportedHolding), records },
      });
      this.#restartIfOutdated(group, term);
    }
  }

  #onReport(message: peer.PermitReport, sender: Sender): void {
    for (const report of message.groups) {
      const coordinator = this.#coordinators.get(report.group);
      if (coordinator === undefined || coordinator.term !== message.term) continue;
      coordinator.onReport(sender.incarnation, report);
      this.#coordinators.scheduleAdvance(report.group);
    }
  }

  #onGrant(message: peer.PermitGrant): void {
    if (message.incarnation !== this.#self.incarnation) return;
    for (const grant of message.grants) {
      if (this.#holder.applyGrant(grant)) this.#hasUpdate = true;
      this.#demand.forceReport(grant.group);
    }
  }

  #onDemand(message: peer.PermitDemand, sender: Sender): void {
    for (const demand of message.groups) {
      this.#coordinators.get(demand.group)?.onDemand(sender.incarnation, demand);
      this.#coordinators.scheduleAdvance(demand.group);
      this.#restartIfOutdated(demand.group, demand.term);
    }
  }

  /**
   * Restarts a group's coordinator if a member has promised a higher term than the coordinator's.
   */
  #restartIfOutdated(group: string, promisedTerm: number): void {
    const coordinator = this.#coordinators.get(group);
    if (coordinator !== undefined && promisedTerm > coordinator.term) {
      this.#coordinators.restart(group);
    }
  }

  #onTargets(message: peer.TeamTargets): void {
    const known = this.#targets.get(message.service);
    if (known !== undefined && known.term > message.term) return;
    const byTeam = new Map(message.targets.map((target) => [target.team, target.running]));
    this.#targets.set(message.service, { term: message.term, byTeam });
    this.#hasUpdate = true;
  }

  #onWitnessRequest(message: peer.WitnessRequest, sender: Sender): void {
    for (const record of message.records) {
      const { group, resource, term, seq } = record;
      const owned = { ...record, incarnation: sender.incarnation };
      if (!this.#witnessRecords.store(owned, this.#holder.promisedTermOf(group))) continue;
      this.#outbox.recorded(sender.memberId, {
        incarnation: sender.incarnation,
        recorded: { group, resource, term, seq },
      });
    }
  }

  #onWitnessAnswer(message: peer.WitnessAnswer, sender: Sender): void {
    if (message.incarnation !== this.#self.incarnation) return;
    for (const { group, resource, term, seq } of message.recorded) {
      const coordinator = this.#coordinators.get(group);
      if (coordinator === undefined || coordinator.term !== term) continue;
      coordinator.onRecorded(sender.incarnation, { resource, seq });
      this.#coordinators.scheduleAdvance(group);
    }
  }
}

/** Limits how often messages to the member itself may cause further ones in one turn. */
const MAX_LOCAL_ROUNDS = 8;

function reportedHolding(holding: holders.Holding) {
  const { resource, held, inUse, total } = holding;
  return { resource, held, inUse, total };
}

function earliest(times: readonly (number | null)[]): number | null {
  let first: number | null = null;
  for (const time of times) {
    if (time !== null && (first === null || time < first)) first = time;
  }
  return first;
}
