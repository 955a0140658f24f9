/**
 * Waits until a revision is accepted: a majority of the listed members report it.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Session } from "./session.ts";

/** How far a revision has come. Without members, publishing is all there is. */
export interface Acceptance {
  readonly isAccepted: boolean;
  readonly memberCount: number;
  readonly reportingCount: number;
}

const POLL_MS = 100;
/** How often the member list is read again while waiting. */
const HEAD_READ_MS = 1_000;

/** Polls the members until the revision is accepted or the time is up. */
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

/** Asks each member once for its revision. */
export async function askMembers(
  session: Session,
  { members, revision }: { members: readonly schema.head.Member[]; revision: number },
): Promise<Acceptance> {
  const answers = await Promise.all(
    members.map((member) =>
      session.operators.status(member.operatorAddress)
        .map((status) =>
          status.memberId === member.memberId && status.incarnation === member.incarnation &&
          status.revision >= revision
        )
        .unwrapOr(false)
    ),
  );
  const reportingCount = answers.filter((isReporting) => isReporting).length;
  const memberCount = members.length;
  const isAccepted = memberCount === 0 || reportingCount > memberCount / 2;
  return { isAccepted, memberCount, reportingCount };
}
