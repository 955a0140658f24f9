/**
 * The membership state of one process, as a state machine that is driven by events and performs no
 * I/O. The entry and the model tests run the same code. Times are in milliseconds of the process's
 * own clock: what this process may do ends by the upper reading, what fenced incarnations may still do
 * by the steady one.
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

/** The time limits of all decisions on the member list. */
export type MemberRules = FreshnessRules & MembershipRules & {
  /** How long a member may be without contact before it counts as unreachable. */
  readonly suspectAfterMs: number;
};

/** The member record of a process without its incarnation. */
export type MemberIdentity = Omit<head.Member, "incarnation" | "leaving">;

/** A completed read of the store. `startedAtMs` is the time before it was sent. */
export interface StoreRead {
  readonly startedAtMs: number;
  readonly revision: number;
  /** Incarnations whose lease keys existed; null if they were not read. */
  readonly aliveIncarnations: ReadonlySet<string> | null;
}

/** Both readings of the process's clock. */
export interface ClockReadings {
  readonly nowMs: number;
  readonly steadyMs: number;
}

/** The inputs of a decision that come from other parts of the process. */
export interface DecisionInput extends ClockReadings {
  readonly draining: boolean;
  readonly canLeave: boolean;
  /** How long permits of a fenced incarnation count as in use after its fence was accepted. */
  readonly fenceWaitMs: number;
}

/** Added to waits for fences, for clock rounding and the duration of the turn that checks them. */
export const FENCE_MARGIN_MS = 500;

/**
 * How long permits of a fenced incarnation count as in use after its fence was accepted: as long as
 * it may consider itself fresh, plus the longest run of a request.
 */
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

/** The membership state of one process, whether it is listed or not. */
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

  /** The incarnation under which the process is listed or asks to join. */
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

  /** Adopts a head with a higher revision; returns whether this incarnation was removed by it. */
  adoptHead(
    head: head.Head,
    steadyMs: number,
  ): { readonly wasRemoved: boolean } {
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
    this.#peers.setExpected(head.members, steadyMs);
    this.#updateAcceptance(steadyMs);
    return { wasRemoved };
  }

  /** Starts a new incarnation after the previous one was removed from the list. */
  restartAs(incarnation: string): void {
    this.#incarnation = incarnation;
    this.#wasListed = false;
  }

  recordRead(read: StoreRead): void {
    this.#lastRead = read;
    this.#freshness.recordOwnRead(read);
  }

  /**
   * Handles a peer's heartbeat. Returns whether the peer holds a higher revision, and whether the
   * highest revision held by a majority has advanced.
   */
  receiveHeartbeat(
    heartbeat: peer.Heartbeat,
    from: ClockReadings & { readonly memberId: string },
  ): { readonly hasHigherRevision: boolean; readonly hasMajorityAdvanced: boolean } {
    const isOwnEcho = heartbeat.echoIncarnation === this.#incarnation;
    const echoedAtMs = isOwnEcho ? heartbeat.echoSentAtMs : null;
    this.#peers.record(from.memberId, heartbeat, { ...from, echoedAtMs });
    this.#freshness.recordHeartbeat({ ...heartbeat, memberId: from.memberId, echoedAtMs });
    this.#acceptance.recordHeldRevision(heartbeat.incarnation, heartbeat.revision);
    const hasMajorityAdvanced = this.#updateAcceptance(from.steadyMs);
    return { hasHigherRevision: heartbeat.revision > this.#head.revision, hasMajorityAdvanced };
  }

  /** Builds the heartbeat for one peer. */
  heartbeatFor(
    memberId: string,
    now: ClockReadings & { readonly draining: boolean },
  ): peer.Heartbeat {
    const lastReadAtMs = this.#freshness.lastOwnReadAtMs();
    return {
      type: "heartbeat",
      incarnation: this.#incarnation,
      revision: this.#head.revision,
      sentAtMs: now.nowMs,
      ...this.#peers.echoFor(memberId),
      storeReadAgeMs: lastReadAtMs === null ? null : now.nowMs - lastReadAtMs,
      unheardMemberIds: this.unreachableMemberIds(now.steadyMs),
      draining: now.draining,
    };
  }

  /** Members, listed for at least the suspicion time, without any contact during it. */
  unreachableMemberIds(steadyMs: number): string[] {
    return this.#others()
      .filter((member) => this.#peers.isUnreachable(member, steadyMs))
      .map((member) => member.memberId);
  }

  /** The evidence that makes the process fresh, so that it may act; null if it may not. */
  freshnessSource(nowMs: number): FreshnessSource | null {
    return this.#freshness.source({
      nowMs,
      members: this.#head.members,
      memberId: this.#identity.memberId,
      incarnation: this.#incarnation,
    });
  }

  /** The collected evidence of freshness, for the model tests. */
  freshness(): Freshness {
    return this.#freshness;
  }

  acceptedRevision(): number {
    return this.#acceptance.acceptedRevision();
  }

  /** When this process learned that a fence was accepted, on the steady reading; null if it was not. */
  fenceAcceptedAtMs(incarnation: string): number | null {
    return this.#acceptance.fenceAcceptedAtMs(incarnation);
  }

  /** The revision that each listed member last reported, and the time since its last contact. */
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
    this.#updateAcceptance(input.steadyMs);
    return this.#policy.decide(this.#membershipView(input));
  }

  #membershipView(input: DecisionInput): MembershipView {
    const { nowMs, steadyMs } = input;
    return {
      steadyMs,
      head: this.#head,
      self: this.selfMember(),
      isFirstJoin: this.#isFirstJoin,
      canLeave: input.canLeave,
      draining: input.draining,
      hasRecentStoreRead: this.#hasRecentStoreRead(nowMs),
      aliveIncarnations: this.#lastRead?.aliveIncarnations ?? null,
      majorityRevision: this.#acceptance.majorityRevision(),
      reachableMemberIds: this.#reachableMemberIds(nowMs),
      unreachableMemberIds: new Set(this.unreachableMemberIds(steadyMs)),
      unreachableReports: this.#peers.unreachableReports(this.#head.members, nowMs),
      expiredFences: this.#expiredFences(input),
    };
  }

  #others(): readonly head.Member[] {
    return this.#head.members.filter((member) => member.incarnation !== this.#incarnation);
  }

  #reachableMemberIds(nowMs: number): ReadonlySet<string> {
    const reachable = this.#others().filter((member) => this.#peers.isReachable(member, nowMs));
    return new Set(reachable.map((member) => member.memberId));
  }

  /**
   * Whether the store was read within the staleness bound and the process holds that revision or a
   * later one.
   */
  #hasRecentStoreRead(nowMs: number): boolean {
    const read = this.#lastRead;
    return read !== null &&
      nowMs - read.startedAtMs < this.#rules.freshForMs &&
      read.revision <= this.#head.revision;
  }

  #expiredFences({ steadyMs, fenceWaitMs }: DecisionInput): ReadonlySet<string> {
    const expired = this.#head.fences.filter((fence) => {
      const acceptedAtMs = this.#acceptance.fenceAcceptedAtMs(fence.incarnation);
      const waitMs = fence.clean ? 0 : fenceWaitMs;
      return acceptedAtMs !== null && steadyMs - acceptedAtMs > waitMs;
    });
    return new Set(expired.map((fence) => fence.incarnation));
  }

  #updateAcceptance(steadyMs: number): boolean {
    return this.#acceptance.update({
      head: this.#head,
      incarnation: this.#incarnation,
      nowMs: steadyMs,
    });
  }
}
