/**
 * Turns decisions on the member list into edits of the head. The caller publishes an edit by
 * compare-and-swap, with the next revision.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import type { MembershipDecision } from "./membership.ts";

/**
 * The fields of the head that a change replaces; without `members` the member list stays as it is.
 */
export interface MemberEdit {
  readonly members?: head.Member[];
  readonly fences: head.Fence[];
}

/** The members to fence, and the attributes of their fences. */
interface FenceOptions {
  readonly members: readonly head.Member[];
  readonly clean: boolean;
  readonly withoutMajority: boolean;
}

/** A decision and the member record of the process that made it. */
export interface DecidedChange {
  readonly decision: MembershipDecision;
  readonly self: head.Member;
}

type Decisions = { [TKind in MembershipDecision["kind"]]: { readonly kind: TKind } };
type Handlers = {
  [TKind in keyof Decisions]: (
    current: head.Head,
    decision: Extract<MembershipDecision, Decisions[TKind]>,
    self: head.Member,
  ) => MemberEdit;
};

const HANDLERS: Handlers = {
  join: (current, _decision, self) => addMember(current, self),
  leave: (current, _decision, self) =>
    fence(current, { members: [self], clean: true, withoutMajority: false }),
  fence: (current, { members, withoutMajority }) =>
    fence(current, { members, clean: false, withoutMajority }),
  dropFences: (current, { incarnations }) => ({
    fences: current.fences.filter(({ incarnation }) => !incarnations.has(incarnation)),
  }),
};

/** Returns the edit of the head for a decision. */
export function editOf(current: head.Head, { decision, self }: DecidedChange): MemberEdit {
  const handler = HANDLERS[decision.kind] as (
    current: head.Head,
    decision: MembershipDecision,
    self: head.Member,
  ) => MemberEdit;
  return handler(current, decision, self);
}

/** Adds a member, and fences an earlier incarnation of the same member. */
function addMember(current: head.Head, member: head.Member): MemberEdit {
  const earlier = current.members.filter(({ memberId }) => memberId === member.memberId);
  const rest = fence(current, { members: earlier, clean: false, withoutMajority: false });
  const members = [...rest.members, member];
  members.sort((left, right) => left.memberId < right.memberId ? -1 : 1);
  return { ...rest, members };
}

function fence(current: head.Head, options: FenceOptions): Required<MemberEdit> {
  const incarnations = new Set(options.members.map(({ incarnation }) => incarnation));
  const fences = options.members.map(({ memberId, incarnation }) => ({
    memberId,
    incarnation,
    revision: current.revision + 1,
    clean: options.clean,
    withoutMajority: options.withoutMajority,
  }));
  return {
    members: current.members.filter(({ incarnation }) => !incarnations.has(incarnation)),
    fences: [...current.fences, ...fences],
  };
}
