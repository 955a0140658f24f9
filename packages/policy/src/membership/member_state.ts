/**
 * Everything that one process knows about the member list, driven by events with times. The entry and
 * the models run the same code. Times are of the process's own clock, in milliseconds.
 *
 * @module
 */
import type { config, head, peer } from "@jackdawlink/schema";
import { head as headRecord } from "@jackdawlink/schema";
import { Acceptance } from "./acceptance.ts";
import { Freshness, type FreshnessRules, type FreshnessSource } from "./freshness.ts";
import {
  type MembershipDecision,
  MembershipPolicy,
  type MembershipRules,
  type MembershipView,
} from "./membership.ts";
import { PeerTable } from "./peer_table.ts";

/** The times that all decisions on the member list depend on. */
export type MemberRules = FreshnessRules & MembershipRules & {
  /** How long a member may go unheard before it is suspected. */
  readonly suspectAfterMs: number;
};

/** What a process is as a member, without the incarnation. */
export type MemberIdentity = Omit<head.Member, "incarnation" | "leaving">;

/** One finished read of the store. `startedAtMs` is the time before it was sent. */
export interface StoreRead {
  readonly startedAtMs: number;
  readonly revision: number;
  /** Incarnations whose lease keys existed; null where they were not read. */
  readonly aliveIncarnations: ReadonlySet<string> | null;
}

/** What the rest of the process adds to a decision. */
export interface DecisionInput {
  readonly nowMs: number;
  readonly draining: boolean;
  readonly canLeave: boolean;
  /** How long permits of a fenced incarnation count as in use after its fence was accepted. */
  readonly fenceWaitMs: number;
}

/** Covers the rounding of clocks and the turn in which a check is made. */
export const FENCE_MARGIN_MS = 500;

/** How long permits of a fenced incarnation count as in use after its fence was accepted. */
export function fenceWaitMs(rules: FreshnessRules, current: config.Config): number {
  const runTimesMs = Object.values(current.services).map((service) => service.maxRunMs);
  return rules.freshForMs + FENCE_MARGIN_MS + Math.max(0, ...runTimesMs);
}

/** Derives the rules from the settings that all members share. */
export function rulesOf(timing: {
  readonly heartbeatMs: number;
  readonly freshForMs: number;
  readonly suspectAfterMs: number;
  readonly memberLeaseSeconds: number;
  readonly maxStoreOutageMs: number;
}): MemberRules {
  return {
    freshForMs: timing.freshForMs,
    maxStoreOutageMs: timing.maxStoreOutageMs,
    suspectAfterMs: timing.suspectAfterMs,
    takeoverAfterMs: timing.suspectAfterMs + timing.memberLeaseSeconds * 1_000,
    rankStepMs: timing.heartbeatMs,
  };
}

/** The state of one process as a member or a guest. */
export class MemberState {
  readonly #rules: MemberRules;
  readonly #identity: MemberIdentity;
  readonly #freshness: Freshness;
  readonly #acceptance: Acceptance;
  readonly #policy: MembershipPolicy;
  readonly #peers: PeerTable;
  #incarnation: string;
  #head: head.Head = headRecord.EMPTY_HEAD;
  #lastRead: StoreRead | null = null;
  #wasListed = false;
  #isFirstJoin = true;

  constructor(options: {
    readonly identity: MemberIdentity;
    readonly incarnation: string;
    readonly rules: MemberRules;
  }) {
    this.#rules = options.rules;
    this.#identity = options.identity;
    this.#incarnation = options.incarnation;
    this.#freshness = new Freshness(options.rules);
    this.#acceptance = new Acceptance(options.rules);
    this.#policy = new MembershipPolicy(options.rules);
    this.#peers = new PeerTable(options.rules);
  }

  head(): head.Head {
    return this.#head;
  }

  /** The incarnation under which the process is listed or asks to be. */
  incarnation(): string {
    return this.#incarnation;
  }

  isListed(): boolean {
    return this.#head.members.some((member) => member.incarnation === this.#incarnation);
  }

  /** The member record with which this process joins. */
  selfMember(): head.Member {
    return { ...this.#identity, incarnation: this.#incarnation, leaving: false };
  }

  /** Takes over a higher head; returns whether it took the process off the list. */
  adoptHead(head: head.Head, nowMs: number): { readonly wasRemoved: boolean } {
    if (head.revision <= this.#head.revision) {
      return { wasRemoved: false };
    }
    this.#head = head;
    this.#freshness.setHeldRevision(head.revision);
    const isListed = this.isListed();
    const isFenced = head.fences.some((fence) => fence.incarnation === this.#incarnation);
    const wasRemoved = isFenced || (this.#wasListed && !isListed);
    this.#wasListed = isListed;
    this.#isFirstJoin &&= !isListed;
    this.#peers.setExpected(head.members, nowMs);
    this.#updateAcceptance(nowMs);
    return { wasRemoved };
  }

  /** Starts over under a new incarnation after the process lost its place. */
  restartAs(incarnation: string): void {
    this.#incarnation = incarnation;
    this.#wasListed = false;
  }

  recordRead(read: StoreRead): void {
    this.#lastRead = read;
    this.#freshness.recordOwnRead(read);
  }

  /** Takes in a heartbeat; returns whether something that the decisions depend on has moved. */
  receiveHeartbeat(
    heartbeat: peer.Heartbeat,
    from: { readonly memberId: string; readonly nowMs: number },
  ): { readonly hasHigherRevision: boolean; readonly hasMajorityAdvanced: boolean } {
    const isOwnEcho = heartbeat.echoIncarnation === this.#incarnation;
    const echoedAtMs = isOwnEcho ? heartbeat.echoSentAtMs : null;
    this.#peers.record(from.memberId, heartbeat, echoedAtMs);
    this.#freshness.recordHeartbeat({ ...heartbeat, memberId: from.memberId, echoedAtMs });
    this.#acceptance.recordHeldRevision(heartbeat.incarnation, heartbeat.revision);
    const hasMajorityAdvanced = this.#updateAcceptance(from.nowMs);
    return { hasHigherRevision: heartbeat.revision > this.#head.revision, hasMajorityAdvanced };
  }

  /** The heartbeat for one peer. */
  heartbeatFor(
    memberId: string,
    now: { readonly nowMs: number; readonly draining: boolean },
  ): peer.Heartbeat {
    const lastReadAtMs = this.#freshness.lastOwnReadAtMs();
    return {
      type: "heartbeat",
      incarnation: this.#incarnation,
      revision: this.#head.revision,
      sentAtMs: now.nowMs,
      ...this.#peers.echoFor(memberId),
      storeReadAgeMs: lastReadAtMs === null ? null : now.nowMs - lastReadAtMs,
      unheardMemberIds: this.unreachableMemberIds(now.nowMs),
      draining: now.draining,
    };
  }

  /** Listed members that this process has not heard within the suspicion time. */
  unreachableMemberIds(nowMs: number): string[] {
    return this.#others()
      .filter((member) => this.#peers.isUnreachable(member, nowMs))
      .map((member) => member.memberId);
  }

  /** Why the process may act now; null where it may not. */
  freshnessSource(nowMs: number): FreshnessSource | null {
    return this.#freshness.source({
      nowMs,
      members: this.#head.members,
      memberId: this.#identity.memberId,
      incarnation: this.#incarnation,
    });
  }

  /** The evidence behind the freshness rule, for status and models. */
  freshness(): Freshness {
    return this.#freshness;
  }

  acceptedRevision(): number {
    return this.#acceptance.acceptedRevision();
  }

  fenceAcceptedAtMs(incarnation: string): number | null {
    return this.#acceptance.fenceAcceptedAtMs(incarnation);
  }

  /** What the listed members last reported, by id. */
  reports(nowMs: number): { memberId: string; revision: number; heardAgeMs: number | null }[] {
    return this.#head.members.map((member) => {
      const isSelf = member.incarnation === this.#incarnation;
      return {
        memberId: member.memberId,
        revision: isSelf ? this.#head.revision : this.#peers.revisionOf(member),
        heardAgeMs: isSelf ? 0 : this.#peers.contactAgeMs(member, nowMs),
      };
    });
  }

  /** The change of the member list that this process should publish next; null for none. */
  decide(input: DecisionInput): MembershipDecision | null {
    this.#updateAcceptance(input.nowMs);
    return this.#policy.decide(this.#membershipView(input));
  }

  #membershipView(input: DecisionInput): MembershipView {
    const { nowMs } = input;
    return {
      nowMs,
      head: this.#head,
      self: this.selfMember(),
      isFirstJoin: this.#isFirstJoin,
      canLeave: input.canLeave,
      draining: input.draining,
      hasRecentStoreRead: this.#hasRecentStoreRead(nowMs),
      aliveIncarnations: this.#lastRead?.aliveIncarnations ?? null,
      majorityRevision: this.#acceptance.majorityRevision(),
      reachableMemberIds: this.#reachableMemberIds(nowMs),
      unreachableMemberIds: new Set(this.unreachableMemberIds(nowMs)),
      unreachableReports: this.#peers.unreachableReports(this.#head.members, nowMs),
      expiredFences: this.#expiredFences(input),
    };
  }

  #others(): readonly head.Member[] {
    return this.#head.members.filter((member) => member.incarnation !== this.#incarnation);
  }

  #reachableMemberIds(nowMs: number): ReadonlySet<string> {
    const heard = this.#others().filter((member) => this.#peers.isReachable(member, nowMs));
    return new Set(heard.map((member) => member.memberId));
  }

  /** The store has just been read, and the head is the one that was read or a later one. */
  #hasRecentStoreRead(nowMs: number): boolean {
    const read = this.#lastRead;
    return read !== null &&
      nowMs - read.startedAtMs < this.#rules.freshForMs &&
      read.revision <= this.#head.revision;
  }

  #expiredFences({ nowMs, fenceWaitMs }: DecisionInput): ReadonlySet<string> {
    const expired = this.#head.fences.filter((fence) => {
      const acceptedAtMs = this.#acceptance.fenceAcceptedAtMs(fence.incarnation);
      const waitMs = fence.clean ? 0 : fenceWaitMs;
      return acceptedAtMs !== null && nowMs - acceptedAtMs > waitMs;
    });
    return new Set(expired.map((fence) => fence.incarnation));
  }

  #updateAcceptance(nowMs: number): boolean {
    return this.#acceptance.update({
      head: this.#head,
      incarnation: this.#incarnation,
      nowMs,
    });
  }
}
