/**
 * The Prometheus metrics of a steward, and a wrapper that counts store calls.
 *
 * @module
 */
import * as prom from "prom-client";
import type * as ports from "@jackdawlink/ports";

/** The metrics of a steward process. */
export class Metrics {
  readonly #registry = new prom.Registry();
  readonly storeCalls = new prom.Counter({
    name: "jackdawlink_steward_store_calls_total",
    help: "Calls of the platform store",
    labelNames: ["call"],
    registers: [this.#registry],
  });
  readonly roundSeconds = new prom.Histogram({
    name: "jackdawlink_steward_round_seconds",
    help: "Time of a round of decisions",
    registers: [this.#registry],
  });
  readonly failedRounds = new prom.Counter({
    name: "jackdawlink_steward_failed_rounds_total",
    help: "Rounds put off because the store or the platform was out",
    registers: [this.#registry],
  });

  /** The metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}

/** Wraps a store so that each call is counted in the metrics. */
export function countCalls(store: ports.store.Store, metrics: Metrics): ports.store.Store {
  const count = (call: string) => metrics.storeCalls.inc({ call });
  return {
    get: (key, options) => (count("get"), store.get(key, options)),
    list: (prefix) => (count("list"), store.list(prefix)),
    listChanges: (prefix, minModRevision) => (
      count("list"), store.listChanges(prefix, minModRevision)
    ),
    transact: (compares, writes) => (count("transact"), store.transact(compares, writes)),
    grantLease: (ttlSeconds) => (count("lease"), store.grantLease(ttlSeconds)),
    keepLeaseAlive: (leaseId) => (count("lease"), store.keepLeaseAlive(leaseId)),
    revokeLease: (leaseId) => (count("lease"), store.revokeLease(leaseId)),
    watch: (prefix, onChange) => (count("watch"), store.watch(prefix, onChange)),
  };
}
