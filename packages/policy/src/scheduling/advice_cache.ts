/**
 * Caches what the advice service has answered about steps on queues whose policy restricts workers,
 * and chooses the workers to ask about next. It answers policies that allow only a few of many workers.
 *
 * @module
 */
import type { StepRecord } from "./job_record.ts";
import { type EligibilityRequest, eligibleWorkers, hasRoom } from "./placement.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Maximum workers in a step's first request, as its duration grows with each. */
const MAX_ADVISED_WORKERS = 12;
/** Minimum workers in a request, also for small steps, as the policy may refuse some. */
const MIN_ADVISED_WORKERS = 4;
/** Requests grow up to this many workers while the policy allows none of those asked about. */
const MAX_WIDENED_WORKERS = 32;

/** By worker id, the ticket that a start order carries. */
export type Tickets = ReadonlyMap<string, string>;

/** What the service has answered about one worker. */
interface WorkerAdvice {
  /** Undefined if the policy refuses the worker. */
  readonly ticket: string | undefined;
  readonly untilMs: number;
}

/** What is known about one step. */
interface StepAdvice {
  readonly workers: Map<string, WorkerAdvice>;
  /** The workers in the request in flight; empty if there is none. */
  askedIds: readonly string[];
  /** The number of answers since the last one that allowed a worker. */
  fruitlessAnswers: number;
}

/** The tickets and refusals by step; each step has at most one request in flight. */
export class AdviceCache {
  readonly #steps = new Map<string, StepAdvice>();

  /** The step's unexpired tickets. */
  ticketsFor(step: StepRecord, nowMs: number): Tickets {
    const tickets = new Map<string, string>();
    for (const [workerId, { ticket, untilMs }] of this.#steps.get(step.name)?.workers ?? []) {
      if (ticket !== undefined && nowMs < untilMs) {
        tickets.set(workerId, ticket);
      }
    }
    return tickets;
  }

  /**
   * Returns the workers to request tickets for and marks the request as in flight. The result is
   * empty while a request of the step is in flight, and if no worker is left that could help: one
   * with room for a task, or any worker for a step without tickets.
   */
  workersToAsk(request: EligibilityRequest): string[] {
    const { step, nowMs } = request;
    const known = this.#adviceOn(step);
    if (known.askedIds.length > 0) {
      return [];
    }
    const hasTickets = this.ticketsFor(step, nowMs).size > 0;
    const workers = request.workers.filter((worker) =>
      (known.workers.get(worker.info.workerId)?.untilMs ?? 0) <= nowMs &&
      (!hasTickets || hasRoom(step, worker))
    );
    const candidates = eligibleWorkers({ ...request, workers });
    const base = Math.max(MIN_ADVISED_WORKERS, Math.min(MAX_ADVISED_WORKERS, step.spec.taskCount));
    const count = Math.min(MAX_WIDENED_WORKERS, base * 2 ** known.fruitlessAnswers);
    known.askedIds = candidates
      .map((worker) => ({ worker, rank: rankOf(known, step, worker) }))
      .sort((a, b) => a.rank - b.rank || b.worker.free.cpuMillicores - a.worker.free.cpuMillicores)
      .slice(0, count)
      .map(({ worker }) => worker.info.workerId);
    return [...known.askedIds];
  }

  /** Caches the answer to the request in flight until a monotonic time. */
  recordAnswer(step: StepRecord, tickets: Tickets, untilMs: number): void {
    const known = this.#adviceOn(step);
    known.askedIds.forEach((workerId) =>
      known.workers.set(workerId, { ticket: tickets.get(workerId), untilMs })
    );
    known.askedIds = [];
    known.fruitlessAnswers = tickets.size > 0 ? 0 : known.fruitlessAnswers + 1;
  }

  /** Records a failed request, so that it can be repeated. */
  recordFailure(step: StepRecord): void {
    this.#adviceOn(step).askedIds = [];
  }

  /** Drops a ticket that its worker has refused. */
  invalidateTicket(step: StepRecord, workerId: string): void {
    this.#steps.get(step.name)?.workers.delete(workerId);
  }

  /** Drops what is known of a worker that has ended: its successor may be of another kind. */
  forgetWorker(workerId: string): void {
    this.#steps.forEach(({ workers }) => workers.delete(workerId));
  }

  /** Drops what is known of a step that is over. */
  forgetStep(step: StepRecord): void {
    this.#steps.delete(step.name);
  }

  #adviceOn(step: StepRecord): StepAdvice {
    let known = this.#steps.get(step.name);
    if (known === undefined) {
      known = { workers: new Map(), askedIds: [], fruitlessAnswers: 0 };
      this.#steps.set(step.name, known);
    }
    return known;
  }
}

/**
 * The order in which workers are asked about: those with room first; among these, those that the policy
 * has allowed before, those not asked about yet, and last those that it has refused.
 */
function rankOf(known: StepAdvice, step: StepRecord, worker: WorkerRecord): number {
  const advice = known.workers.get(worker.info.workerId);
  const answerRank = advice === undefined ? 1 : advice.ticket === undefined ? 2 : 0;
  return (hasRoom(step, worker) ? 0 : 3) + answerRank;
}
