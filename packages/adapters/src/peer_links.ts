/**
 * The full mesh of links between entries. Each process connects to every listed member and sends on
 * the links that it opened. It also connects back to an unlisted peer while that peer's link is
 * open.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import type { ResultAsync } from "neverthrow";
import { PeerLink } from "./peer_link.ts";
import { PeerListener, type Refusal } from "./peer_listener.ts";
import type { PeerTlsMaterial } from "./peer_tls.ts";

/** The address at which a peer accepts links. */
export interface PeerAddress {
  readonly memberId: string;
  readonly address: string;
}

/** Options of {@link PeerLinkMesh}. */
export interface PeerLinkMeshOptions {
  readonly memberId: string;
  readonly tls: PeerTlsMaterial | null;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly random?: () => number;
  /** The local IP address of outgoing links; chosen by the system if undefined. */
  readonly localHost?: string;
  /** Whether a message type is accepted from a sender. Called for each message. */
  readonly isAllowed: (sender: ports.peers.Sender, type: schema.peer.MessageType) => boolean;
  /** Called for each message or link that was refused or dropped, for metrics. */
  readonly onEvent?: (event: Refusal | "dropped") => void;
}

type Handler = (message: schema.peer.Message, sender: ports.peers.Sender) => void;

/** The maximum number of unlisted peers to connect back to. */
const MAX_UNLISTED_PEERS = 64;

/** Manages the links to all peers. */
export class PeerLinkMesh implements ports.peers.PeerLinks {
  readonly #options: PeerLinkMeshOptions;
  readonly #listener: PeerListener;
  readonly #handlers = new Map<schema.peer.MessageType, Handler>();
  readonly #links = new Map<string, PeerLink>();
  /** Addresses from the hello of each peer with an open incoming link, by member id. */
  readonly #announcedAddresses = new Map<string, string>();
  #memberAddresses = new Map<string, string>();
  #seedAddresses: readonly string[] = [];
  #ownAddress = "";
  #incarnation = "";

  constructor(options: PeerLinkMeshOptions) {
    this.#options = options;
    this.#listener = new PeerListener({
      tls: options.tls,
      clock: options.clock,
      log: options.log,
      onHello: (hello) => this.#handleHello(hello),
      onMessage: (message, sender) => this.#receive(message, sender),
      onDisconnected: (memberId) => this.#handleDisconnect(memberId),
      onRefused: (reason) => options.onEvent?.(reason),
    });
  }

  /** Starts to listen and returns the bound address. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    return this.#listener.listen(address);
  }

  /** Sets the identity of this process and announces it to all peers. */
  setIdentity(self: { readonly incarnation: string; readonly peerAddress: string }): void {
    this.#incarnation = self.incarnation;
    this.#ownAddress = self.peerAddress;
    this.#links.forEach((link) => link.sendHello());
  }

  /** Sets the peers to connect to: the listed members, and seed addresses of unknown members. */
  setPeers(members: readonly PeerAddress[], seedAddresses: readonly string[]): void {
    const others = members.filter(({ memberId }) => memberId !== this.#options.memberId);
    this.#memberAddresses = new Map(others.map(({ memberId, address }) => [memberId, address]));
    this.#seedAddresses = seedAddresses;
    this.#updateLinks();
  }

  send(memberId: string, message: schema.peer.Message): void {
    const address = this.#addressOf(memberId);
    const link = address === undefined ? undefined : this.#links.get(address);
    if (link?.isOpenTo(memberId) !== true || !link.send(message)) {
      this.#options.onEvent?.("dropped");
    }
  }

  on<TType extends schema.peer.MessageType>(
    type: TType,
    handler: (message: schema.peer.MessageOf<TType>, sender: ports.peers.Sender) => void,
  ): void {
    this.#handlers.set(type, handler as Handler);
  }

  /** Returns the peers, listed or not, with an open outgoing link. */
  linkedMemberIds(): readonly string[] {
    const memberIds = new Set([
      ...this.#memberAddresses.keys(),
      ...this.#announcedAddresses.keys(),
    ]);
    return [...memberIds].filter((memberId) => {
      const link = this.#links.get(this.#addressOf(memberId) ?? "");
      return link?.isOpenTo(memberId) === true;
    });
  }

  close(): void {
    this.#listener.close();
    this.#links.forEach((link) => link.close());
    this.#links.clear();
  }

  /** Prefers the address that the peer announced, as it is newer than the member list. */
  #addressOf(memberId: string): string | undefined {
    return this.#announcedAddresses.get(memberId) ?? this.#memberAddresses.get(memberId);
  }

  #handleHello(hello: schema.peer.Hello): void {
    const { memberId, peerAddress } = hello;
    if (memberId === this.#options.memberId) {
      return;
    }
    const isKnown = this.#announcedAddresses.has(memberId);
    if (
      !isKnown && this.#announcedAddresses.size >= MAX_UNLISTED_PEERS + this.#memberAddresses.size
    ) {
      return;
    }
    this.#announcedAddresses.set(memberId, peerAddress);
    this.#updateLinks();
  }

  #handleDisconnect(memberId: string): void {
    this.#announcedAddresses.delete(memberId);
    this.#updateLinks();
  }

  #receive(message: schema.peer.Message, sender: ports.peers.Sender): void {
    const isSelf = sender.memberId === this.#options.memberId;
    if (isSelf || !this.#options.isAllowed(sender, message.type)) {
      this.#options.onEvent?.("notAllowed");
      this.#options.log.debug("Message refused", { type: message.type, ...sender });
      return;
    }
    this.#handlers.get(message.type)?.(message, sender);
  }

  #updateLinks(): void {
    const wanted = this.#wantedLinks();
    for (const [address, link] of this.#links) {
      if (!wanted.has(address)) {
        link.close();
        this.#links.delete(address);
      }
    }
    for (const [address, expectedMemberId] of wanted) {
      if (!this.#links.has(address)) {
        this.#links.set(address, this.#dial(address, expectedMemberId));
      }
    }
  }

  /** Returns the expected member by address; null if any member is accepted there. */
  #wantedLinks(): Map<string, string | null> {
    const wanted = new Map<string, string | null>();
    this.#seedAddresses.forEach((address) => wanted.set(address, null));
    for (const addresses of [this.#memberAddresses, this.#announcedAddresses]) {
      addresses.forEach((address, memberId) => wanted.set(address, memberId));
    }
    wanted.delete(this.#ownAddress);
    return wanted;
  }

  #dial(address: string, expectedMemberId: string | null): PeerLink {
    const { tls, clock, log, localHost, random = Math.random } = this.#options;
    return new PeerLink({
      address,
      localHost,
      expectedMemberId,
      hello: () => ({
        type: "hello",
        memberId: this.#options.memberId,
        incarnation: this.#incarnation,
        peerAddress: this.#ownAddress,
        protocolVersion: 2,
      }),
      tls,
      clock,
      log,
      random,
    });
  }
}
