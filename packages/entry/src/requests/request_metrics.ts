/**
 * Metrics of the request path.
 *
 * @module
 */
import * as promClient from "prom-client";

const QUEUE_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 4, 8, 16];
const RUN_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 4, 8, 16];

/** Creates the metrics and registers them in the given registry. */
export class RequestMetrics {
  readonly requests: promClient.Counter<"queue" | "outcome">;
  readonly refusals: promClient.Counter<"type">;
  readonly attempts: promClient.Counter<"service" | "result">;
  readonly queueSeconds: promClient.Histogram<"queue">;
  readonly runSeconds: promClient.Histogram<"service">;
  readonly waiting: promClient.Gauge<"service">;

  constructor(registry: promClient.Registry) {
    const registers = [registry];
    this.requests = new promClient.Counter({
      name: "jackdawlink_requests_total",
      help: "Requests by queue and outcome",
      labelNames: ["queue", "outcome"],
      registers,
    });
    this.refusals = new promClient.Counter({
      name: "jackdawlink_request_refusals_total",
      help: "Refused requests by type of refusal",
      labelNames: ["type"],
      registers,
    });
    this.attempts = new promClient.Counter({
      name: "jackdawlink_request_attempts_total",
      help: "Attempts at backend servers by service and result",
      labelNames: ["service", "result"],
      registers,
    });
    this.queueSeconds = new promClient.Histogram({
      name: "jackdawlink_request_queue_seconds",
      help: "Time from admission to the first attempt",
      labelNames: ["queue"],
      buckets: QUEUE_BUCKETS_SECONDS,
      registers,
    });
    this.runSeconds = new promClient.Histogram({
      name: "jackdawlink_request_run_seconds",
      help: "Time from sending an attempt to its end",
      labelNames: ["service"],
      buckets: RUN_BUCKETS_SECONDS,
      registers,
    });
    this.waiting = new promClient.Gauge({
      name: "jackdawlink_requests_waiting",
      help: "Requests that wait for permits",
      labelNames: ["service"],
      registers,
    });
  }
}
