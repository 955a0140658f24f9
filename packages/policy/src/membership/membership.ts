/**
 * Membership: when a process joins, whom it fences, when it leaves, and which fences it drops.
 *
 * Slots are named by member id. A change adds or removes one slot, and only after a majority holds the
 * last such change, so that majorities of consecutive lists overlap. A new incarnation in its own slot may
 * replace the old one at any time: a member id belongs to one process at a time.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import { majorityOf } from "./freshness.ts";

/** The times that the decisions depend on. */
export interface MembershipRules {
  /** How long all others must be gone before a process goes on without a majority. */
  readonly takeoverAfterMs: number;
  /** The lowest-ranked live member acts at once, each next one this much later. */
  readonly rankStepMs: number;
}

/** What a process sees when it decides. Times are of its own clock. */
export interface MembershipView {
  readonly nowMs: number;
  readonly head: head.Head;
  readonly self: head.Member;
  /** True until the process was listed for the first time. */
  readonly isFirstJoin: boolean;
  /** True once the process is to go and has nothing running. */
  readonly canLeave: boolean;
  /** Whether the process is to go. */
  readonly draining: boolean;
  /** Whether the held head is the one that the process has just read from the store itself. */
  readonly hasRecentStoreRead: boolean;
  /** Incarnations whose lease keys existed at the last read; null before the first. */
  readonly aliveIncarnations: ReadonlySet<string> | null;
  /** The highest revision known to be held by a majority of the listed members. */
  readonly majorityRevision: number;
  /** Other listed members that were heard within the suspicion time. */
  readonly reachableMemberIds: ReadonlySet<string>;
  /** Other listed members that should have been heard within it, and were not. */
  readonly unreachableMemberIds: ReadonlySet<string>;
  /** Recent heartbeats: by sender, the listed members that it hasn't heard. */
  readonly unreachableReports: ReadonlyMap<string, readonly string[]>;
  /** Fences that were accepted long enough ago that nothing waits for them. */
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
    readonly reason: "leaseLapsed" | "unheard" | "majorityLost";
    readonly withoutMajority: boolean;
  };

/** Decides for one process; it remembers only since when it suspects others. */
export class MembershipPolicy {
  readonly #rules: MembershipRules;
  readonly #suspectedSinceMs = new Map<string, number>();

  constructor(rules: MembershipRules) {
    this.#rules = rules;
  }

  /** The next change to publish, or null. Only a process that has the store at hand decides. */
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
    const due = suspects.filter((member) => this.#suspectedForMs(member, view.nowMs) >= delayMs);
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

  /** Fences all that are gone, where those left are no majority any more. */
  #takeover(view: MembershipView, delayMs: number): MembershipDecision | null {
    const gone = view.head.members.filter((member) =>
      isPresumedDead(member, view) &&
      this.#suspectedForMs(member, view.nowMs) >= this.#rules.takeoverAfterMs + delayMs
    );
    const leftCount = view.head.members.length - gone.length;
    if (gone.length === 0 || leftCount >= majorityOf(view.head.members.length)) {
      return null;
    }
    return { kind: "fence", members: gone, reason: "majorityLost", withoutMajority: true };
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

  /** Listed members that should be fenced, in the order of their ids. */
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
        this.#suspectedSinceMs.set(incarnation, view.nowMs);
      }
    }
    return suspects;
  }

  #suspectedForMs(member: head.Member, nowMs: number): number {
    const sinceMs = this.#suspectedSinceMs.get(member.incarnation);
    return sinceMs === undefined ? -Infinity : nowMs - sinceMs;
  }
}

function isListed(view: MembershipView): boolean {
  return view.head.members.some((member) => member.incarnation === view.self.incarnation);
}

/** Whether a majority holds the last change of the member list, so that the next one may be made. */
function isSettled(view: MembershipView): boolean {
  return view.majorityRevision >= view.head.membersRevision;
}

/** The lease lapsed and this process doesn't hear it, though it should have. */
function isPresumedDead(member: head.Member, view: MembershipView): boolean {
  return isLeaseExpired(member, view) && view.unreachableMemberIds.has(member.memberId);
}

function isLeaseExpired(member: head.Member, view: MembershipView): boolean {
  return view.aliveIncarnations !== null && !view.aliveIncarnations.has(member.incarnation);
}

function isUnreachableByMajority(member: head.Member, view: MembershipView): boolean {
  if (!isListed(view) || !view.unreachableMemberIds.has(member.memberId)) {
    return false;
  }
  const reporters = view.head.members.filter((reporter) =>
    view.unreachableReports.get(reporter.memberId)?.includes(member.memberId) === true
  );
  return reporters.length + 1 >= majorityOf(view.head.members.length);
}

/** Whether this process and those that it hears are a majority of `memberCount` members. */
function reachesMajority(view: MembershipView, memberCount: number): boolean {
  const ownCount = isListed(view) ? 1 : 0;
  return memberCount === 0 || view.reachableMemberIds.size + ownCount >= majorityOf(memberCount);
}

/** The place of this process among the listed members that it doesn't suspect. */
function rankOf(view: MembershipView, suspects: readonly head.Member[]): number {
  const live = view.head.members.filter((member) => !suspects.includes(member));
  const rank = live.findIndex((member) => member.incarnation === view.self.incarnation);
  return Math.max(0, rank);
}
