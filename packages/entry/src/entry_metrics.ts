/**
 * Metrics of the entry's membership and of its peer links.
 *
 * @module
 */
import * as prometheus from "prom-client";
import type { MembershipStatus } from "./membership/membership_manager.ts";

/** Registers counters and gauges in a registry of its own. */
export class EntryMetrics {
  readonly registry = new prometheus.Registry();
  readonly #peerEvents: prometheus.Counter<"event">;

  constructor(status: () => MembershipStatus) {
    const registers = [this.registry];
    prometheus.collectDefaultMetrics({ register: this.registry, prefix: "jackdawlink_" });
    this.#peerEvents = new prometheus.Counter({
      name: "jackdawlink_peer_messages_not_taken_total",
      help: "Messages and links of peers that were refused or dropped, by reason",
      labelNames: ["event"],
      registers,
    });
    this.#gauge("jackdawlink_fresh", "1 while the process may act", () => status().fresh ? 1 : 0);
    this.#gauge("jackdawlink_revision", "The revision held", () => status().revision);
    this.#gauge(
      "jackdawlink_accepted_revision",
      "The highest revision known to be held by a majority",
      () => status().acceptedRevision,
    );
    this.#gauge("jackdawlink_members", "Listed members", () => status().members.length);
  }

  /** Counts a message or connection that a peer link rejected or dropped. */
  countPeerEvent(event: string): void {
    this.#peerEvents.inc({ event });
  }

  #gauge(name: string, help: string, read: () => number): void {
    new prometheus.Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
