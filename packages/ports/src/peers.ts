/**
 * Messaging between entries.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

/** The sender of a message. */
export interface Sender {
  readonly memberId: string;
  readonly incarnation: string;
}

/**
 * Sends and receives messages. Messages may be lost, but are never duplicated or reordered on a
 * link.
 */
export interface PeerLinks {
  /** Sends a message, or drops it if the link is down. */
  send(memberId: string, message: peer.Message): void;
  /** Registers the handler of a message type; there is one handler per type. */
  on<TType extends peer.MessageType>(
    type: TType,
    handler: (message: peer.MessageOf<TType>, sender: Sender) => void,
  ): void;
}
