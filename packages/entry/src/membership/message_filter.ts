/**
 * Decides which peer messages to accept, by the current head's members and fences.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type { head, peer } from "@jackdawlink/schema";

/** The messages that a process outside the member list needs in order to join. */
const UNLISTED_SENDER_TYPES: ReadonlySet<peer.MessageType> = new Set([
  "hello",
  "heartbeat",
  "catchUpRequest",
  "catchUpAnswer",
]);

/** The messages that a fenced incarnation needs in order to learn that it is fenced. */
const FENCED_SENDER_TYPES: ReadonlySet<peer.MessageType> = new Set(["hello", "catchUpRequest"]);

/** Rejects most messages of fenced and unlisted incarnations. */
export class MessageFilter {
  readonly #head: () => head.Head;

  constructor(head: () => head.Head) {
    this.#head = head;
  }

  /** Whether to accept a message of this type from the sender. */
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
