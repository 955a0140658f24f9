/**
 * Which backend servers of a service get no requests for a while, since they fail.
 *
 * @module
 */

/** Failures in a row that eject a backend server. */
export const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** The part of a service's backend servers that may be ejected at once. */
export const MAX_EJECTED_RATIO = 0.5;
/** The first ejection lasts so long; each further one without a success doubles it. */
export const BASE_EJECTION_MS = 1_000;
export const MAX_EJECTION_MS = 30_000;
/** How long a returning backend server takes to its full weight. */
export const SLOW_START_MS = 5_000;
export const SLOW_START_MIN_WEIGHT = 0.1;
/** Failures among recent requests that eject, in a window of so many requests. */
export const FAILURE_WINDOW_REQUESTS = 20;
export const FAILURE_RATIO_TO_EJECT = 0.5;

/** Whether a backend server gets requests: all, one at a time as a probe, or none. */
export type Health = "healthy" | "probing" | "ejected";

/** What is known of one backend server. */
interface ServerState {
  consecutiveFailures: number;
  /** The latest results, true for a failure. */
  recent: boolean[];
  ejections: number;
  ejectedUntilMs: number | null;
  returnedAtMs: number | null;
}

/** Follows the backend servers of one service. */
export class OutlierDetector {
  readonly #servers = new Map<string, ServerState>();

  /** An answer came, whatever its status. A success ends an ejection. */
  recordSuccess(backendServer: string, nowMs: number): void {
    const state = this.#stateOf(backendServer);
    state.consecutiveFailures = 0;
    pushResult(state, false);
    if (state.ejectedUntilMs === null) return;
    if (nowMs < state.ejectedUntilMs) return;
    state.ejectedUntilMs = null;
    state.ejections = 0;
    state.returnedAtMs = nowMs;
    state.recent = [];
  }

  /** An attempt failed; true where this ejects the backend server. */
  recordFailure(
    backendServer: string,
    { nowMs, serviceSize }: { nowMs: number; serviceSize: number },
  ): boolean {
    const state = this.#stateOf(backendServer);
    state.consecutiveFailures += 1;
    pushResult(state, true);
    if (state.ejectedUntilMs !== null) {
      if (nowMs >= state.ejectedUntilMs) eject(state, nowMs);
      return false;
    }
    if (!isOutlier(state)) return false;
    if (this.#ejectedCount() + 1 > Math.floor(serviceSize * MAX_EJECTED_RATIO)) return false;
    eject(state, nowMs);
    return true;
  }

  health(backendServer: string, nowMs: number): Health {
    const state = this.#servers.get(backendServer);
    if (state === undefined || state.ejectedUntilMs === null) return "healthy";
    return nowMs < state.ejectedUntilMs ? "ejected" : "probing";
  }

  /** From {@link SLOW_START_MIN_WEIGHT} to 1. */
  weight(backendServer: string, nowMs: number): number {
    const returnedAtMs = this.#servers.get(backendServer)?.returnedAtMs ?? null;
    if (returnedAtMs === null) return 1;
    const progress = (nowMs - returnedAtMs) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
  }

  /** Forgets backend servers that the configuration no longer names. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const name of this.#servers.keys()) {
      if (!backendServers.has(name)) this.#servers.delete(name);
    }
  }

  #ejectedCount(): number {
    return [...this.#servers.values()].filter((state) => state.ejectedUntilMs !== null).length;
  }

  #stateOf(backendServer: string): ServerState {
    let state = this.#servers.get(backendServer);
    if (state === undefined) {
      state = {
        consecutiveFailures: 0,
        recent: [],
        ejections: 0,
        ejectedUntilMs: null,
        returnedAtMs: null,
      };
      this.#servers.set(backendServer, state);
    }
    return state;
  }
}

function pushResult(state: ServerState, isFailure: boolean): void {
  state.recent.push(isFailure);
  if (state.recent.length > FAILURE_WINDOW_REQUESTS) state.recent.shift();
}

function isOutlier(state: ServerState): boolean {
  if (state.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT) return true;
  if (state.recent.length < FAILURE_WINDOW_REQUESTS) return false;
  const failures = state.recent.filter((isFailure) => isFailure).length;
  return failures / state.recent.length >= FAILURE_RATIO_TO_EJECT;
}

function eject(state: ServerState, nowMs: number): void {
  const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** state.ejections);
  state.ejections += 1;
  state.ejectedUntilMs = nowMs + durationMs;
  state.returnedAtMs = null;
}
