/**
 * Tickets for steps on queues whose policy allows only some workers, and which steps to ask about.
 *
 * @module
 */
import type { StepRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** A call takes time for each worker that it names. */
const MAX_ADVISED_WORKERS = 12;
/** Some workers may be refused, so that a step asks about more than it needs. */
const MIN_ADVISED_WORKERS = 4;

/** By worker, the ticket that a start carries. */
export type Tickets = ReadonlyMap<string, string>;

/** The tickets of all steps; one call a step is on its way at a time. */
export class AdviceCache {
  readonly #known = new Map<string, { readonly tickets: Tickets; readonly untilMs: number }>();
  readonly #asked = new Set<string>();

  /** The tickets that hold now; undefined where there are none. */
  ticketsFor(step: StepRecord, nowMs: number): Tickets | undefined {
    const known = this.#known.get(step.name);
    return known !== undefined && nowMs < known.untilMs ? known.tickets : undefined;
  }

  /** The workers to ask about for a step without tickets; none while a call is on its way. */
  workersToAsk(step: StepRecord, workers: readonly WorkerRecord[], nowMs: number): string[] {
    if (this.#asked.has(step.name)) {
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
      this.#asked.add(step.name);
    }
    return workerIds;
  }

  recordAnswer(step: StepRecord, tickets: Tickets, untilMs: number): void {
    this.#asked.delete(step.name);
    this.#known.set(step.name, { tickets, untilMs });
  }

  /** No advice could be had; it is asked for again. */
  recordFailure(step: StepRecord): void {
    this.#asked.delete(step.name);
  }

  /** A worker has refused a ticket, or the step is over. */
  invalidate(step: StepRecord): void {
    this.#known.delete(step.name);
  }
}
