/**
 * Metrics of the entry's part in the member list.
 *
 * @module
 */
import * as prometheus from "prom-client";
import type { MembershipStatus } from "./membership/membership_manager.ts";

/** Counters and gauges, in a registry of their own. */
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
