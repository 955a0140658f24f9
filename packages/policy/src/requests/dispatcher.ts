/**
 * Decides which waiting request of a service starts next.
 *
 * With targets, the team furthest below its target goes first. Without, teams are served by weighted
 * fair queueing: each start advances a team's virtual time by the inverse of its weight.
 *
 * Two guards stand before that order, each for a bounded part of the starts: an urgent request that
 * has waited for long, and a team that had no start for long.
 *
 * @module
 */
import * as requestQueue from "./request_queue.ts";

/** From this wait on, an urgent request may go before teams that are further below their targets. */
export const URGENT_ESCALATION_MS = 1_000;
/** One start in so many is kept for escalated urgent requests. */
export const URGENT_START_INTERVAL = 4;
/** A waiting team that had no start for so long gets the next one. */
export const TEAM_STARVATION_MS = 2_000;

/** What the order of teams depends on. */
export interface TeamStatus {
  readonly running: number;
  /** How many should run; null while no target is known. */
  readonly target: number | null;
  readonly weight: number;
}

/** One team with its line and its account. */
interface TeamState {
  readonly team: string;
  readonly queue: requestQueue.TeamQueue;
  virtualTime: number;
  /** The last start, or when the team began to wait. */
  servedAtMs: number;
}

/** A team with what it is ordered by. */
interface RankedTeam {
  readonly state: TeamState;
  readonly fill: number;
}

/** The waiting requests of one service. */
export class Dispatcher {
  readonly #teams = new Map<string, TeamState>();
  readonly #requests = new Map<string, requestQueue.WaitingRequest>();
  #startsSinceUrgent = 0;
  #virtualTime = 0;

  get waiting(): number {
    return this.#requests.size;
  }

  /** Adds a request; a team that had none waiting joins at the present virtual time. */
  add(request: requestQueue.WaitingRequest): void {
    let state = this.#teams.get(request.team);
    if (state === undefined) {
      state = {
        team: request.team,
        queue: new requestQueue.TeamQueue(),
        virtualTime: this.#virtualTime,
        servedAtMs: request.enqueuedAtMs,
      };
      this.#teams.set(request.team, state);
    }
    if (state.queue.length === 0) {
      state.virtualTime = Math.max(state.virtualTime, this.#virtualTime);
      state.servedAtMs = request.enqueuedAtMs;
    }
    state.queue.add(request);
    this.#requests.set(request.requestId, request);
  }

  /** Removes a request that will not start; false where it isn't waiting. */
  remove(requestId: string): boolean {
    const request = this.#requests.get(requestId);
    if (request === undefined) return false;
    this.#requests.delete(requestId);
    return this.#teams.get(request.team)!.queue.remove(request);
  }

  /** Removes and returns the requests whose time is over. */
  expire(nowMs: number): readonly requestQueue.WaitingRequest[] {
    const expired = [...this.#requests.values()].filter(({ expiresAtMs }) => expiresAtMs <= nowMs);
    for (const { requestId } of expired) this.remove(requestId);
    return expired;
  }

  /**
   * The waiting requests to be tried, best first, at most one per team but for escalated urgent ones.
   * The caller reports the one that started by {@link recordStart}.
   */
  *candidates(
    nowMs: number,
    standingOf: (team: string) => TeamStatus,
  ): Generator<requestQueue.WaitingRequest> {
    const waiting = [...this.#teams.values()].filter(({ queue: line }) => line.length > 0);
    const urgent = this.#escalatedUrgent(waiting, nowMs);
    if (urgent !== undefined) yield urgent;
    const ranked = this.#rank(waiting, { nowMs, standingOf });
    for (const { queue: line } of ranked) {
      const request = line.peek();
      if (request !== undefined && request !== urgent) yield request;
    }
  }

  /** Takes a started request out and charges its team. */
  recordStart(requestId: string, { nowMs, weight }: { nowMs: number; weight: number }): void {
    const request = this.#requests.get(requestId);
    if (request === undefined) return;
    const state = this.#teams.get(request.team)!;
    const escalated = isEscalated(request, nowMs);
    this.#startsSinceUrgent = escalated ? 0 : this.#startsSinceUrgent + 1;
    this.#virtualTime = Math.max(this.#virtualTime, state.virtualTime);
    state.virtualTime += 1 / weight;
    state.servedAtMs = nowMs;
    state.queue.recordStart(request);
    this.remove(requestId);
  }

  /** How many requests of a team wait, and how many of them are urgent. */
  waitingCounts(team: string): { readonly waiting: number; readonly urgentWaiting: number } {
    const line = this.#teams.get(team)?.queue;
    return { waiting: line?.length ?? 0, urgentWaiting: line?.urgentLength ?? 0 };
  }

  /** The teams that have requests waiting. */
  teams(): readonly string[] {
    return [...this.#teams.values()].filter(({ queue: line }) => line.length > 0).map(({ team }) =>
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
    for (const { queue: line } of states) {
      const request = line.peekUrgent();
      if (request === undefined || !isEscalated(request, nowMs)) continue;
      if (oldest === undefined || request.enqueuedAtMs < oldest.enqueuedAtMs) oldest = request;
    }
    return oldest;
  }

  #rank(
    states: readonly TeamState[],
    { nowMs, standingOf }: { nowMs: number; standingOf: (team: string) => TeamStatus },
  ): readonly TeamState[] {
    const ranked: RankedTeam[] = states.map((state) => ({
      state,
      fill: this.#fillOf(state, { nowMs, standing: standingOf(state.team) }),
    }));
    ranked.sort((a, b) => compareTeams(a, b));
    return ranked.map(({ state }) => state);
  }

  /** How full a team's target is; below zero for a starved team. */
  #fillOf(
    state: TeamState,
    { nowMs, standing }: { nowMs: number; standing: TeamStatus },
  ): number {
    if (nowMs - state.servedAtMs >= TEAM_STARVATION_MS) return -1;
    if (standing.target === null) return 0;
    if (standing.target === 0) return Number.MAX_VALUE;
    return standing.running / standing.target;
  }
}

function isEscalated(request: requestQueue.WaitingRequest, nowMs: number): boolean {
  return request.urgency === "urgent" && nowMs - request.enqueuedAtMs >= URGENT_ESCALATION_MS;
}

function compareTeams(a: RankedTeam, b: RankedTeam): number {
  if (a.fill !== b.fill) return a.fill - b.fill;
  if (a.fill < 0) return a.state.servedAtMs - b.state.servedAtMs;
  if (a.state.virtualTime !== b.state.virtualTime) {
    return a.state.virtualTime - b.state.virtualTime;
  }
  return a.state.team < b.state.team ? -1 : 1;
}
