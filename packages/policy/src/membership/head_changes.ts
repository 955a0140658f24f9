/**
 * Changes of the member list. Each returns a new head with the next revision; the caller sets the
 * change id and publishes it by compare-and-swap.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import type { MembershipDecision } from "./membership.ts";

/** Which incarnations are fenced, and how. */
export interface FenceOptions {
  readonly incarnations: ReadonlySet<string>;
  readonly clean: boolean;
  readonly withoutMajority: boolean;
}

/** Adds a member; an earlier incarnation of the same member is fenced by it. */
export function addMember(current: head.Head, member: head.Member): head.Head {
  const earlier = current.members.filter((listed) => listed.memberId === member.memberId);
  const fenced = fenceMembers(current, {
    incarnations: new Set(earlier.map((listed) => listed.incarnation)),
    clean: false,
    withoutMajority: false,
  });
  const members = [...fenced.members, member];
  members.sort((left, right) => left.memberId < right.memberId ? -1 : 1);
  return { ...fenced, members };
}

/** Takes incarnations off the list and adds their fences. */
export function fenceMembers(current: head.Head, options: FenceOptions): head.Head {
  const revision = current.revision + 1;
  const isFenced = (member: head.Member) => options.incarnations.has(member.incarnation);
  const fences = current.members.filter(isFenced).map((member) => ({
    memberId: member.memberId,
    incarnation: member.incarnation,
    revision,
    clean: options.clean,
    withoutMajority: options.withoutMajority,
  }));
  return {
    ...current,
    revision,
    membersRevision: revision,
    members: current.members.filter((member) => !isFenced(member)),
    fences: [...current.fences, ...fences],
  };
}

/** Drops fences that nothing waits for any more; the member list stays. */
export function dropFences(current: head.Head, incarnations: ReadonlySet<string>): head.Head {
  return {
    ...current,
    revision: current.revision + 1,
    fences: current.fences.filter((fence) => !incarnations.has(fence.incarnation)),
  };
}

/** What a decision needs to become a change. */
export interface DecidedChange {
  readonly decision: MembershipDecision;
  readonly self: head.Member;
}

/** The head that a decision asks for. */
export function applyDecision(current: head.Head, { decision, self }: DecidedChange): head.Head {
  switch (decision.kind) {
    case "join":
      return addMember(current, self);
    case "leave":
      return fenceMembers(current, {
        incarnations: new Set([self.incarnation]),
        clean: true,
        withoutMajority: false,
      });
    case "dropFences":
      return dropFences(current, decision.incarnations);
    case "fence":
      return fenceMembers(current, {
        incarnations: new Set(decision.members.map((member) => member.incarnation)),
        clean: false,
        withoutMajority: decision.withoutMajority,
      });
  }
}
