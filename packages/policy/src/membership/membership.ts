/**
 * Decides on changes of the member list: when a process joins or leaves, which members it fences,
 * and which old fences it drops from the head.
 *
 * Each member id has one slot in the list. A change adds or removes one slot, and is made only
 * after a majority holds the previous such change, so that majorities of consecutive lists overlap.
 * A new incarnation may replace the old one in its own slot at any time, as a member id belongs to
 * one process at a time.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import { majorityOf } from "./freshness.ts";

/** The delays before members are fenced. */
export interface MembershipRules {
  /** How long members must be presumed dead before they are fenced without a majority. */
  readonly takeoverAfterMs: number;
  /** The delay per rank: the first live member of the list fences at once, the next ones later. */
  readonly rankStepMs: number;
}

/** The input of a decision. */
export interface MembershipView {
  /** The steady reading of the process's own clock. */
  readonly steadyMs: number;
  readonly head: head.Head;
  readonly self: head.Member;
  /** True until the process was listed for the first time. */
  readonly isFirstJoin: boolean;
  /** Whether the process is to shut down and has no requests running. */
  readonly canLeave: boolean;
  /** Whether the process is to shut down. */
  readonly draining: boolean;
  /** Whether the process has read the store within the staleness bound and holds what it read. */
  readonly hasRecentStoreRead: boolean;
  /** Incarnations whose lease keys existed at the last store read; null if they were not read. */
  readonly aliveIncarnations: ReadonlySet<string> | null;
  /** The highest revision known to be held by a majority of the listed members. */
  readonly majorityRevision: number;
  /** Other listed members that this process had contact with within the suspicion time. */
  readonly reachableMemberIds: ReadonlySet<string>;
  /** Other members, listed for at least the suspicion time, without any contact during it. */
  readonly unreachableMemberIds: ReadonlySet<string>;
  /** The members that each reachable member reported as unreachable in its last heartbeat. */
  readonly unreachableReports: ReadonlyMap<string, readonly string[]>;
  /**
   * Fenced incarnations whose permits no longer count as in use, so that the fence can be dropped.
   */
  readonly expiredFences: ReadonlySet<string>;
}

/** The change that a process should try to publish. */
export type MembershipDecision =
  | { readonly kind: "join" }
  | { readonly kind: "leave" }
  | { readonly kind: "dropFences"; readonly incarnations: ReadonlySet<string> }
  | {
    readonly kind: "fence";
    readonly members: readonly head.Member[];
    /**
     * `leaseLapsed`: the member is presumed dead. `unheard`: a majority cannot reach it, though its
     * lease is alive. `majorityLost`: the members that are not presumed dead are no majority.
     */
    readonly reason: "leaseLapsed" | "unheard" | "majorityLost";
    readonly withoutMajority: boolean;
  };

/** Decides for one process. Its only state is since when it has suspected each other member. */
export class MembershipPolicy {
  readonly #rules: MembershipRules;
  readonly #suspectedSinceMs = new Map<string, number>();

  constructor(rules: MembershipRules) {
    this.#rules = rules;
  }

  /** The next change to publish; null for none, or without a recent read of the store. */
  decide(view: MembershipView): MembershipDecision | null {
    const suspects = this.#suspects(view);
    if (!view.hasRecentStoreRead) {
      return null;
    }
    return isListed(view)
      ? this.#decideAsMember(view, suspects)
      : this.#decideAsUnlisted(view, suspects);
  }

  #decideAsMember(
    view: MembershipView,
    suspects: readonly head.Member[],
  ): MembershipDecision | null {
    if (view.canLeave && isSettled(view)) {
      return { kind: "leave" };
    }
    const fence = this.#fenceDecision(view, suspects);
    if (fence !== null) {
      return fence;
    }
    const isFirst = rankOf(view, suspects) === 0;
    return isFirst && view.expiredFences.size > 0
      ? { kind: "dropFences", incarnations: view.expiredFences }
      : null;
  }

  #fenceDecision(
    view: MembershipView,
    suspects: readonly head.Member[],
  ): MembershipDecision | null {
    const delayMs = rankOf(view, suspects) * this.#rules.rankStepMs;
    const due = suspects.filter((member) => this.#suspectedForMs(member, view.steadyMs) >= delayMs);
    const first = due[0];
    if (first === undefined) {
      return null;
    }
    if (isSettled(view) && reachesMajority(view, view.head.members.length - 1)) {
      const reason = isLeaseExpired(first, view) ? "leaseLapsed" : "unheard";
      return { kind: "fence", members: [first], reason, withoutMajority: false };
    }
    return this.#takeover(view, delayMs);
  }

  /** Fences all members presumed dead, if the remaining ones are no majority of the list. */
  #takeover(view: MembershipView, delayMs: number): MembershipDecision | null {
    const dead = view.head.members.filter((member) =>
      isPresumedDead(member, view) &&
      this.#suspectedForMs(member, view.steadyMs) >= this.#rules.takeoverAfterMs + delayMs
    );
    const remainingCount = view.head.members.length - dead.length;
    if (dead.length === 0 || remainingCount >= majorityOf(view.head.members.length)) {
      return null;
    }
    return { kind: "fence", members: dead, reason: "majorityLost", withoutMajority: true };
  }

  #decideAsUnlisted(
    view: MembershipView,
    suspects: readonly head.Member[],
  ): MembershipDecision | null {
    if (view.draining) {
      return null;
    }
    const { members } = view.head;
    const own = members.find((member) => member.memberId === view.self.memberId);
    if (own !== undefined) {
      return view.isFirstJoin || isLeaseExpired(own, view) ? { kind: "join" } : null;
    }
    if (isSettled(view) && reachesMajority(view, members.length)) {
      return { kind: "join" };
    }
    const isAlone = members.length > 0 && suspects.length === members.length;
    return isAlone ? this.#takeover(view, 0) : null;
  }

  /**
   * The listed members that should be fenced, in the list's order. Updates since when each one has
   * been suspected.
   */
  #suspects(view: MembershipView): readonly head.Member[] {
    const suspects = view.head.members.filter((member) =>
      member.incarnation !== view.self.incarnation &&
      (isPresumedDead(member, view) || isUnreachableByMajority(member, view))
    );
    const incarnations = new Set(suspects.map((member) => member.incarnation));
    for (const incarnation of this.#suspectedSinceMs.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#suspectedSinceMs.delete(incarnation);
      }
    }
    for (const incarnation of incarnations) {
      if (!this.#suspectedSinceMs.has(incarnation)) {
        this.#suspectedSinceMs.set(incarnation, view.steadyMs);
      }
    }
    return suspects;
  }

  #suspectedForMs(member: head.Member, steadyMs: number): number {
    const sinceMs = this.#suspectedSinceMs.get(member.incarnation);
    return sinceMs === undefined ? -Infinity : steadyMs - sinceMs;
  }
}

function isListed(view: MembershipView): boolean {
  return view.head.members.some((member) => member.incarnation === view.self.incarnation);
}

/**
 * Whether a majority holds the last change of the member list, so that the next one can be made.
 */
function isSettled(view: MembershipView): boolean {
  return view.majorityRevision >= view.head.membersRevision;
}

/** Whether a member's lease has expired and this process cannot reach it. */
function isPresumedDead(member: head.Member, view: MembershipView): boolean {
  return isLeaseExpired(member, view) && view.unreachableMemberIds.has(member.memberId);
}

function isLeaseExpired(member: head.Member, view: MembershipView): boolean {
  return view.aliveIncarnations !== null && !view.aliveIncarnations.has(member.incarnation);
}

/** Whether this process and those that report the member as unreachable are a majority. */
function isUnreachableByMajority(member: head.Member, view: MembershipView): boolean {
  if (!isListed(view) || !view.unreachableMemberIds.has(member.memberId)) {
    return false;
  }
  const reporters = view.head.members.filter((reporter) =>
    view.unreachableReports.get(reporter.memberId)?.includes(member.memberId) === true
  );
  return reporters.length + 1 >= majorityOf(view.head.members.length);
}

/**
 * Whether this process, if listed, and the members that it reaches are a majority of `memberCount`.
 */
function reachesMajority(view: MembershipView, memberCount: number): boolean {
  const ownCount = isListed(view) ? 1 : 0;
  return memberCount === 0 || view.reachableMemberIds.size + ownCount >= majorityOf(memberCount);
}

/** The index of this process among the listed members that it does not suspect; 0 if not listed. */
function rankOf(view: MembershipView, suspects: readonly head.Member[]): number {
  const live = view.head.members.filter((member) => !suspects.includes(member));
  const rank = live.findIndex((member) => member.incarnation === view.self.incarnation);
  return Math.max(0, rank);
}
