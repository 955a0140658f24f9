/**
 * Caches the tickets that the advice service grants for steps on queues whose policy restricts
 * workers, and chooses the workers to request them for.
 *
 * @module
 */
import type { StepRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Maximum workers in a request, as its duration grows with each. */
const MAX_ADVISED_WORKERS = 12;
/** Minimum workers in a request, also for small steps, as the policy may refuse some. */
const MIN_ADVISED_WORKERS = 4;

/** By worker id, the ticket that a start order carries. */
export type Tickets = ReadonlyMap<string, string>;

/** The tickets by step; each step has at most one request in flight. */
export class AdviceCache {
  readonly #entries = new Map<string, { readonly tickets: Tickets; readonly untilMs: number }>();
  readonly #inFlight = new Set<string>();

  /** The step's unexpired tickets; undefined if there are none. */
  ticketsFor(step: StepRecord, nowMs: number): Tickets | undefined {
    const entry = this.#entries.get(step.name);
    return entry !== undefined && nowMs < entry.untilMs ? entry.tickets : undefined;
  }

  /**
   * Returns the workers to request tickets for and marks the request as in flight. The result is
   * empty while a request of the step is in flight already.
   */
  workersToAsk(step: StepRecord, workers: readonly WorkerRecord[], nowMs: number): string[] {
    if (this.#inFlight.has(step.name)) {
      return [];
    }
    const count = Math.min(
      MAX_ADVISED_WORKERS,
      Math.max(MIN_ADVISED_WORKERS, step.spec.taskCount),
    );
    const workerIds = workers
      .filter((worker) => worker.isSchedulable(nowMs))
      .sort((a, b) => b.free.cpuMillicores - a.free.cpuMillicores)
      .slice(0, count)
      .map(({ info }) => info.workerId);
    if (workerIds.length > 0) {
      this.#inFlight.add(step.name);
    }
    return workerIds;
  }

  /** Caches the granted tickets until a monotonic time. */
  recordAnswer(step: StepRecord, tickets: Tickets, untilMs: number): void {
    this.#inFlight.delete(step.name);
    this.#entries.set(step.name, { tickets, untilMs });
  }

  /** Records a failed request, so that it can be repeated. */
  recordFailure(step: StepRecord): void {
    this.#inFlight.delete(step.name);
  }

  /** Drops the step's tickets, because a worker refused one or the step is over. */
  invalidate(step: StepRecord): void {
    this.#entries.delete(step.name);
  }
}
