/**
 * Which messages may be taken from whom, by the head that this process holds.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type { head, peer } from "@jackdawlink/schema";

/** What a process that is not listed needs in order to join. */
const UNLISTED_SENDER_TYPES: ReadonlySet<peer.MessageType> = new Set([
  "hello",
  "heartbeat",
  "catchUpRequest",
  "catchUpAnswer",
]);

/** What a fenced incarnation needs in order to learn that it is fenced. */
const FENCED_SENDER_TYPES: ReadonlySet<peer.MessageType> = new Set(["hello", "catchUpRequest"]);

/** Refuses messages of fenced and unknown incarnations. */
export class MessageFilter {
  readonly #head: () => head.Head;

  constructor(head: () => head.Head) {
    this.#head = head;
  }

  accepts(sender: ports.peers.Sender, type: peer.MessageType): boolean {
    const { members, fences } = this.#head();
    if (fences.some(({ incarnation }) => incarnation === sender.incarnation)) {
      return FENCED_SENDER_TYPES.has(type);
    }
    const isListed = members.some(({ memberId, incarnation }) =>
      memberId === sender.memberId && incarnation === sender.incarnation
    );
    return isListed || UNLISTED_SENDER_TYPES.has(type);
  }
}
