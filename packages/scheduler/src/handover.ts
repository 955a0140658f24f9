/**
 * Passes the ownership on when the store refuses the owner but serves other nodes. Without it, nobody takes
 * over until the owner's lease has expired, and the new owner has to assume that the old one still gives
 * orders. The owner asks its peers whether the store serves them; if one of them is served, it ends its term
 * and tells all peers, of which one takes over.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type { Ownership } from "./ownership.ts";
import { pause } from "./pause.ts";
import type { PeerNotice } from "./peer_rpc.ts";
import { OWNER_KEY } from "./store_keys.ts";

const { FAILED_RENEWALS_BEFORE_OFFER, OFFER_INTERVAL_MS, MAX_OFFERED_PEERS } =
  policy.scheduling.ownershipProof;
const CHECK_INTERVAL_MS = 100;

export interface HandoverOptions {
  readonly ownership: Ownership;
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Sends a notice to up to `maxCount` of the peers that are connected to this node; to all by default. */
  readonly notifyPeers: (notice: PeerNotice, maxCount?: number) => void;
  /** Tells the owner that the store serves this node. */
  readonly offerTakeover: (fencingToken: number) => void;
}

/** One node's part in handovers, both as the owner and as a candidate. */
export class Handover {
  readonly #options: HandoverOptions;
  #isStopped = false;
  #offeredAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: HandoverOptions) {
    this.#options = options;
  }

  /** Watches the renewals of the ownership until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      this.#offerIfRefused();
      await pause(CHECK_INTERVAL_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Handles a peer's message, as the owner, that the store serves that peer. */
  acceptOffer(fencingToken: number): void {
    const { ownership, notifyPeers } = this.#options;
    if (ownership.held?.fencingToken !== fencingToken || !this.#isRefused()) {
      return;
    }
    // The term has to end before any peer can learn that the ownership is free.
    ownership.resign("the store serves other nodes, but not this one");
    notifyPeers({ kind: "released", fencingToken });
  }

  /** Handles a notice of the owner. */
  async handleNotice(notice: PeerNotice): Promise<void> {
    const { ownership, store, log, offerTakeover } = this.#options;
    if (notice.kind === "released") {
      ownership.recordRelease(notice.fencingToken);
      return;
    }
    const owner = await store.get(OWNER_KEY);
    const isServed = owner.isOk() && owner.value?.revision === notice.fencingToken;
    log.info("Asked whether the store serves this node", {
      token: notice.fencingToken,
      served: isServed,
      reason: owner.isErr() ? owner.error.message : undefined,
    });
    if (isServed) {
      offerTakeover(notice.fencingToken);
    }
  }

  #offerIfRefused(): void {
    const { ownership, clock, log, notifyPeers } = this.#options;
    const nowMs = clock.nowMs();
    const { held } = ownership;
    if (held === undefined || !this.#isRefused() || nowMs - this.#offeredAtMs < OFFER_INTERVAL_MS) {
      return;
    }
    this.#offeredAtMs = nowMs;
    log.info("The store does not confirm the ownership, asking peers", {
      token: held.fencingToken,
      failedRenewals: held.failedRenewalCount,
    });
    notifyPeers({ kind: "store-lost", fencingToken: held.fencingToken }, MAX_OFFERED_PEERS);
  }

  #isRefused(): boolean {
    const { held } = this.#options.ownership;
    return held !== undefined && held.failedRenewalCount >= FAILED_RENEWALS_BEFORE_OFFER;
  }
}
