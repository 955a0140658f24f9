/**
 * Counters and latency histograms of one node.
 *
 * @module
 */
import * as prom from "prom-client";

/** Seconds; from answers out of memory up to callers' deadlines. */
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3];

/** The metrics of one process. */
export class NodeMetrics {
  readonly #registry = new prom.Registry();
  readonly requests = new prom.Counter({
    name: "jackdawlink_requests_total",
    help: "Requests of callers by method and status",
    labelNames: ["method", "status"],
    registers: [this.#registry],
  });
  readonly requestSeconds = new prom.Histogram({
    name: "jackdawlink_request_seconds",
    help: "Time from a caller's request to its answer",
    labelNames: ["method"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly storeCalls = new prom.Counter({
    name: "jackdawlink_store_calls_total",
    help: "Calls of the platform store",
    labelNames: ["call"],
    registers: [this.#registry],
  });
  readonly logLinesDropped = new prom.Counter({
    name: "jackdawlink_log_lines_dropped_total",
    help: "Log lines left out because too many came at once",
    registers: [this.#registry],
  });
  readonly isOwner = new prom.Gauge({
    name: "jackdawlink_owner",
    help: "1 while this node owns the scheduling",
    registers: [this.#registry],
  });

  /** The text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
