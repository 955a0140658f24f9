/**
 * Decides which waiting request of a service starts next.
 *
 * While targets are known, the team furthest below its target goes first. Otherwise teams are
 * served by weighted fair queueing: each start advances a team's virtual time by the inverse of its
 * weight.
 *
 * Two rules override this order for a bounded fraction of the starts: escalation of urgent requests
 * that have waited for a long time, and protection of teams from starvation.
 *
 * @module
 */
import * as requestQueue from "./request_queue.ts";

/** An urgent request that has waited this long may overtake teams further below their targets. */
export const URGENT_ESCALATION_MS = 1_000;
/** One start in this many is reserved for escalated urgent requests. */
export const URGENT_START_INTERVAL = 4;
/** A team whose requests have waited this long without a start is ranked first. */
export const TEAM_STARVATION_MS = 2_000;

/** The state of a team that determines its rank. */
export interface TeamStatus {
  readonly running: number;
  /** How many requests of the team should run; null while no target is known. */
  readonly target: number | null;
  readonly weight: number;
}

/** The queue and fair-queueing state of a team. */
interface TeamState {
  readonly team: string;
  readonly queue: requestQueue.TeamQueue;
  virtualTime: number;
  /** The time of the team's last start, or of the first request in its queue if that came later. */
  lastServedAtMs: number;
}

/** A team with its sort key. */
interface RankedTeam {
  readonly state: TeamState;
  readonly utilization: number;
}

/** Holds the waiting requests of a service and orders their starts. */
export class Dispatcher {
  readonly #teams = new Map<string, TeamState>();
  readonly #requests = new Map<string, requestQueue.WaitingRequest>();
  #startsSinceUrgent = 0;
  #virtualTime = 0;

  get waiting(): number {
    return this.#requests.size;
  }

  /** Adds a request. A team whose queue was empty joins at the current virtual time. */
  add(request: requestQueue.WaitingRequest): void {
    let state = this.#teams.get(request.team);
    if (state === undefined) {
      state = {
        team: request.team,
        queue: new requestQueue.TeamQueue(),
        virtualTime: this.#virtualTime,
        lastServedAtMs: request.enqueuedAtMs,
      };
      this.#teams.set(request.team, state);
    }
    if (state.queue.length === 0) {
      state.virtualTime = Math.max(state.virtualTime, this.#virtualTime);
      state.lastServedAtMs = request.enqueuedAtMs;
    }
    state.queue.add(request);
    this.#requests.set(request.requestId, request);
  }

  /** Removes a request that will not start. Returns false if it isn't waiting. */
  remove(requestId: string): boolean {
    const request = this.#requests.get(requestId);
    if (request === undefined) return false;
    this.#requests.delete(requestId);
    return this.#teams.get(request.team)!.queue.remove(request);
  }

  /** Removes and returns the requests that have expired. */
  expire(nowMs: number): readonly requestQueue.WaitingRequest[] {
    const expired = [...this.#requests.values()].filter(({ expiresAtMs }) => expiresAtMs <= nowMs);
    for (const { requestId } of expired) this.remove(requestId);
    return expired;
  }

  /**
   * Yields the waiting requests to try, best first: at most one per team, and before these the
   * longest waiting escalated urgent request, if it is due. The caller reports the request that it
   * starts to {@link recordStart}.
   */
  *candidates(
    nowMs: number,
    statusOf: (team: string) => TeamStatus,
  ): Generator<requestQueue.WaitingRequest> {
    const waiting = [...this.#teams.values()].filter(({ queue }) => queue.length > 0);
    const urgent = this.#escalatedUrgent(waiting, nowMs);
    if (urgent !== undefined) yield urgent;
    const ranked = this.#rank(waiting, { nowMs, statusOf });
    for (const { queue } of ranked) {
      const request = queue.peek();
      if (request !== undefined && request !== urgent) yield request;
    }
  }

  /** Removes a request that starts and charges its team for it. */
  recordStart(requestId: string, { nowMs, weight }: { nowMs: number; weight: number }): void {
    const request = this.#requests.get(requestId);
    if (request === undefined) return;
    const state = this.#teams.get(request.team)!;
    const escalated = isEscalated(request, nowMs);
    this.#startsSinceUrgent = escalated ? 0 : this.#startsSinceUrgent + 1;
    this.#virtualTime = Math.max(this.#virtualTime, state.virtualTime);
    state.virtualTime += 1 / weight;
    state.lastServedAtMs = nowMs;
    state.queue.recordStart(request);
    this.remove(requestId);
  }

  /** The number of waiting requests of a team, and the number of urgent ones among them. */
  waitingCounts(team: string): { readonly waiting: number; readonly urgentWaiting: number } {
    const queue = this.#teams.get(team)?.queue;
    return { waiting: queue?.length ?? 0, urgentWaiting: queue?.urgentLength ?? 0 };
  }

  /** The teams that have waiting requests. */
  teams(): readonly string[] {
    return [...this.#teams.values()].filter(({ queue }) => queue.length > 0).map(({ team }) =>
      team
    );
  }

  /** All waiting requests. */
  all(): readonly requestQueue.WaitingRequest[] {
    return [...this.#requests.values()];
  }

  #escalatedUrgent(
    states: readonly TeamState[],
    nowMs: number,
  ): requestQueue.WaitingRequest | undefined {
    if (this.#startsSinceUrgent < URGENT_START_INTERVAL - 1) return undefined;
    let oldest: requestQueue.WaitingRequest | undefined;
    for (const { queue } of states) {
      const request = queue.peekUrgent();
      if (request === undefined || !isEscalated(request, nowMs)) continue;
      if (oldest === undefined || request.enqueuedAtMs < oldest.enqueuedAtMs) oldest = request;
    }
    return oldest;
  }

  #rank(
    states: readonly TeamState[],
    { nowMs, statusOf }: { nowMs: number; statusOf: (team: string) => TeamStatus },
  ): readonly TeamState[] {
    const ranked: RankedTeam[] = states.map((state) => ({
      state,
      utilization: this.#utilizationOf(state, { nowMs, status: statusOf(state.team) }),
    }));
    ranked.sort((a, b) => compareTeams(a, b));
    return ranked.map(({ state }) => state);
  }

  /** Running requests as a fraction of the team's target; below zero for a starved team. */
  #utilizationOf(
    state: TeamState,
    { nowMs, status }: { nowMs: number; status: TeamStatus },
  ): number {
    if (nowMs - state.lastServedAtMs >= TEAM_STARVATION_MS) return -1;
    if (status.target === null) return 0;
    if (status.target === 0) return Number.MAX_VALUE;
    return status.running / status.target;
  }
}

function isEscalated(request: requestQueue.WaitingRequest, nowMs: number): boolean {
  return request.urgency === "urgent" && nowMs - request.enqueuedAtMs >= URGENT_ESCALATION_MS;
}

function compareTeams(a: RankedTeam, b: RankedTeam): number {
  if (a.utilization !== b.utilization) return a.utilization - b.utilization;
  if (a.utilization < 0) return a.state.lastServedAtMs - b.state.lastServedAtMs;
  if (a.state.virtualTime !== b.state.virtualTime) {
    return a.state.virtualTime - b.state.virtualTime;
  }
  return a.state.team < b.state.team ? -1 : 1;
}
