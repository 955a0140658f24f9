/**
 * Waits until a listed member reports that a revision is in force. The members decide on
 * acceptance: a count of the members that hold the revision would be wrong after a member list
 * without a majority.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Session } from "./session.ts";

/** The rollout state of a revision. Without members, a published revision counts as accepted. */
export interface Acceptance {
  readonly isAccepted: boolean;
  readonly memberCount: number;
  readonly reportingCount: number;
}

const POLL_MS = 100;
/** The interval at which the member list is read again while waiting. */
const HEAD_READ_MS = 1_000;

/** Polls the members until the revision is accepted or the time-out has passed. */
export async function waitUntilAccepted(
  session: Session,
  { head, timeoutMs }: { head: schema.head.Head; timeoutMs: number },
): Promise<Acceptance> {
  const { clock } = session;
  const deadlineMs = clock.nowMs() + timeoutMs;
  let members = head.members;
  let headReadAtMs = clock.nowMs();
  for (;;) {
    const acceptance = await askMembers(session, { members, revision: head.revision });
    if (acceptance.isAccepted || clock.nowMs() >= deadlineMs) return acceptance;
    if (clock.nowMs() - headReadAtMs >= HEAD_READ_MS) {
      headReadAtMs = clock.nowMs();
      members = await session.headRepository.read()
        .map((record) => record.head.members)
        .unwrapOr(members);
    }
    await new Promise<void>((resolve) => clock.after(POLL_MS, resolve));
  }
}

/** Asks each member once; one that reports the revision in force is enough. */
export async function askMembers(
  session: Session,
  { members, revision }: { members: readonly schema.head.Member[]; revision: number },
): Promise<Acceptance> {
  const answers = await Promise.all(members.map((member) => askMember(session, member)));
  const statuses = answers.filter((status) => status !== null);
  const memberCount = members.length;
  return {
    isAccepted: memberCount === 0 ||
      statuses.some((status) => status.acceptedRevision >= revision),
    memberCount,
    reportingCount: statuses.filter((status) => status.revision >= revision).length,
  };
}

/** The status of a member; null if it is unreachable or another incarnation answers. */
async function askMember(
  session: Session,
  { operatorAddress, memberId, incarnation }: schema.head.Member,
): Promise<schema.operator.Status | null> {
  const answer = await session.operators.status(operatorAddress);
  const status = answer.unwrapOr(null);
  return status?.memberId === memberId && status.incarnation === incarnation ? status : null;
}
