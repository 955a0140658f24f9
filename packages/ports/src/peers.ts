/**
 * Links to the other entries.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** Which incarnation sent a message. */
export interface Sender {
  readonly memberId: string;
  readonly incarnation: string;
}

/** Sends and receives messages. Messages may be lost, and are never doubled or reordered on one link. */
export interface PeerLinks {
  /** Sends if the link is up; otherwise drops the message. */
  send(memberId: string, message: peer.Message): void;
  /** Registers the one handler of a message type. */
  on<TType extends peer.MessageType>(
    type: TType,
    handler: (message: peer.MessageOf<TType>, sender: Sender) => void,
  ): void;
}
