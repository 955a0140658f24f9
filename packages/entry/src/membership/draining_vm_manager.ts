/**
 * Holds the list of draining VMs. The list is read from the store with each poll of the head. A
 * process whose reads fail gets it from a peer whose heartbeat reports a higher revision.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** Options of a {@link DrainingVmManager}. */
export interface DrainingVmManagerOptions {
  readonly store: ports.store.Store;
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly headPollMs: number;
}

/**
 * Peers are asked for a newer list only if the last read is older than this many poll intervals;
 * otherwise the next poll is soon enough.
 */
const MAX_READ_AGE_POLLS = 1.5;

/** Follows the list of draining VMs; replaces it only with one of a higher store revision. */
export class DrainingVmManager implements ports.members.DrainingVmSource {
  readonly #options: DrainingVmManagerOptions;
  readonly #callbacks: ((draining: ports.members.DrainingVms) => void)[] = [];
  #draining: ports.members.DrainingVms = { modRevision: 0, vms: new Set() };
  #lastReadAtMs = -Infinity;

  constructor(options: DrainingVmManagerOptions) {
    this.#options = options;
    options.links.on("drainingVmsRequest", (request, { memberId }) => {
      this.#answerRequest(request, memberId);
    });
    options.links.on("drainingVms", ({ modRevision, vms }) => {
      this.#adopt({ modRevision, vms: new Set(vms) }, "peer");
    });
  }

  current(): ports.members.DrainingVms {
    return this.#draining;
  }

  onChange(callback: (draining: ports.members.DrainingVms) => void): void {
    this.#callbacks.push(callback);
  }

  /**
   * Reads the list from the store. Returns false if the store is unavailable, so that the poll
   * doesn't count as a successful read. An invalid record is logged, and the current list is kept.
   */
  async read(): Promise<boolean> {
    const { store, clock, log } = this.#options;
    const startedAtMs = clock.nowMs();
    const { modRevision } = this.#draining;
    const read = await adapters.drainingList.readNewerDrainingVms(store, modRevision);
    if (read.isErr()) {
      log.warn("Failed to read draining VMs", { kept: modRevision, reason: read.error.message });
      return !(read.error instanceof schema.errors.StoreUnavailableError);
    }
    this.#lastReadAtMs = startedAtMs;
    if (read.value !== null) this.#adopt(read.value, "store");
    return true;
  }

  /**
   * Requests the list from a peer that reports a higher revision, if the last store read is too
   * old.
   */
  receiveRevision(memberId: string, modRevision: number): void {
    const { clock, headPollMs, links } = this.#options;
    const readAgeMs = clock.nowMs() - this.#lastReadAtMs;
    const isBehind = modRevision > this.#draining.modRevision;
    if (isBehind && readAgeMs > headPollMs * MAX_READ_AGE_POLLS) {
      const request = { modRevision: this.#draining.modRevision };
      links.send(memberId, { type: "drainingVmsRequest", ...request });
    }
  }

  #answerRequest(request: schema.peer.DrainingVmsRequest, memberId: string): void {
    const { modRevision, vms } = this.#draining;
    if (modRevision > request.modRevision) {
      this.#options.links.send(memberId, { type: "drainingVms", modRevision, vms: [...vms] });
    }
  }

  #adopt(draining: ports.members.DrainingVms, source: "store" | "peer"): void {
    if (draining.modRevision <= this.#draining.modRevision) return;
    this.#draining = draining;
    this.#options.log.info("Draining VMs taken over", {
      modRevision: draining.modRevision,
      vms: [...draining.vms].join(" "),
      source,
    });
    this.#callbacks.forEach((callback) => callback(draining));
  }
}
