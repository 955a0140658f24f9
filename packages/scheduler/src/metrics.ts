/**
 * Counters and latency histograms of one node.
 *
 * @module
 */
import * as prom from "prom-client";

/** From responses out of memory up to callers' deadlines. */
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
  readonly wallClockJumps = new prom.Counter({
    name: "jackdawlink_wall_clock_jumps_total",
    help: "Jumps of the wall clock against the monotonic clock: set, or the VM was suspended",
    labelNames: ["direction"],
    registers: [this.#registry],
  });
  readonly stops = new prom.Counter({
    name: "jackdawlink_stops_total",
    help: "Stop orders by outcome; overdue: accepted, and the run went on",
    labelNames: ["outcome"],
    registers: [this.#registry],
  });
  readonly workerCrashes = new prom.Gauge({
    name: "jackdawlink_worker_crashes",
    help: "Crashes of workers that this node has seen in its last term as owner",
    registers: [this.#registry],
  });
  readonly tasksGivenUp = new prom.Gauge({
    name: "jackdawlink_tasks_given_up",
    help: "Tasks given up in this node's last term as owner, as they crashed their workers",
    registers: [this.#registry],
  });
  readonly ends = new prom.Gauge({
    name: "jackdawlink_task_ends",
    help: "Ends of tasks that workers list, by the stage that they have not come to",
    labelNames: ["stage"],
    registers: [this.#registry],
  });
  readonly oldestEndSeconds = new prom.Gauge({
    name: "jackdawlink_oldest_task_end_seconds",
    help: "How long the oldest end that is not acknowledged has been listed",
    registers: [this.#registry],
  });
  readonly endAcknowledgementSeconds = new prom.Histogram({
    name: "jackdawlink_task_end_acknowledgement_seconds",
    help: "Time from the report that lists ends to their acknowledgement",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly jobsToStore = new prom.Gauge({
    name: "jackdawlink_journal_jobs",
    help: "Jobs whose progress is to be stored",
    registers: [this.#registry],
  });
  readonly journalWriteSeconds = new prom.Histogram({
    name: "jackdawlink_journal_write_seconds",
    help: "Time of one transaction of the journal",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly decisionSeconds = new prom.Histogram({
    name: "jackdawlink_decision_seconds",
    help: "Time of one round of decisions",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly workerCalls = new prom.Counter({
    name: "jackdawlink_worker_calls_total",
    help: "The owner's calls to workers by outcome; unknown if no answer came",
    labelNames: ["outcome"],
    registers: [this.#registry],
  });
  readonly cpuSeconds = new prom.Gauge({
    name: "jackdawlink_process_cpu_seconds",
    help: "Processor time that this process has used",
    registers: [this.#registry],
    collect(): void {
      this.set(processCpuMs() / 1_000);
    },
  });
  readonly isOwner = new prom.Gauge({
    name: "jackdawlink_owner",
    help: "1 while this node owns the scheduling",
    registers: [this.#registry],
  });

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}

/** The processor time that this process has used, in ms. */
export function processCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}
