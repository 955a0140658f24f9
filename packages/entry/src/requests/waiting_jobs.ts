/**
 * The requests of one service that wait for a permit.
 *
 * @module
 */
import { requests as policy } from "@jackdawlink/policy";
import type * as requestJob from "./request_job.ts";

/** Holds the waiting requests in the order of the dispatcher and counts them by queue. */
export class WaitingJobs {
  readonly #dispatcher = new policy.dispatcher.Dispatcher();
  readonly #jobs = new Map<string, requestJob.RequestJob>();
  readonly #byQueue = new Map<string, number>();

  get size(): number {
    return this.#jobs.size;
  }

  countInQueue(queue: string): number {
    return this.#byQueue.get(queue) ?? 0;
  }

  add(job: requestJob.RequestJob): void {
    const { request } = job;
    this.#jobs.set(request.requestId, job);
    this.#byQueue.set(request.queue.name, this.countInQueue(request.queue.name) + 1);
    this.#dispatcher.add(request);
  }

  /** Removes a request without starting it; false if it isn't waiting. */
  remove(job: requestJob.RequestJob): boolean {
    const { request } = job;
    this.#dispatcher.remove(request.requestId);
    if (!this.#jobs.delete(request.requestId)) return false;
    this.#byQueue.set(request.queue.name, this.countInQueue(request.queue.name) - 1);
    return true;
  }

  /** Removes a request that starts, and charges its team for it. */
  start(job: requestJob.RequestJob, charge: { nowMs: number; weight: number }): void {
    this.#dispatcher.recordStart(job.request.requestId, charge);
    this.remove(job);
  }

  /** Removes and returns the expired requests. */
  expire(nowMs: number): readonly requestJob.RequestJob[] {
    const expired = this.#dispatcher.expire(nowMs).map(({ requestId }) =>
      this.#jobs.get(requestId)!
    );
    for (const job of expired) this.remove(job);
    return expired;
  }

  /** Yields the requests to start, in order of preference. */
  *candidates(
    nowMs: number,
    statusOf: (team: string) => policy.dispatcher.TeamStatus,
  ): Generator<requestJob.RequestJob> {
    for (const { requestId } of this.#dispatcher.candidates(nowMs, statusOf)) {
      yield this.#jobs.get(requestId)!;
    }
  }

  all(): readonly requestJob.RequestJob[] {
    return [...this.#jobs.values()];
  }

  /** The teams with waiting requests. */
  teams(): readonly string[] {
    return this.#dispatcher.teams();
  }

  /** The number of waiting requests of a team, and how many of them are urgent. */
  countsOfTeam(team: string): { readonly waiting: number; readonly urgentWaiting: number } {
    return this.#dispatcher.waitingCounts(team);
  }
}
