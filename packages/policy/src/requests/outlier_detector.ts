/**
 * Outlier detection: temporarily ejects backend servers of a service that fail requests.
 *
 * @module
 */

/** Consecutive failures after which a backend server is ejected. */
export const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** The fraction of a service's backend servers that may be ejected at once. */
export const MAX_EJECTED_RATIO = 0.5;
/** Duration of the first ejection. It doubles with each further ejection without a success. */
export const BASE_EJECTION_MS = 1_000;
export const MAX_EJECTION_MS = 30_000;
/** How long a backend server takes to reach its full weight after an ejection. */
export const SLOW_START_MS = 5_000;
export const SLOW_START_MIN_WEIGHT = 0.1;
/** The number of recent requests over which the failure ratio is computed. */
export const FAILURE_WINDOW_REQUESTS = 20;
/** The failure ratio in a full window from which on a backend server is ejected. */
export const FAILURE_RATIO_TO_EJECT = 0.5;

/** Whether a backend server gets requests: normally, one at a time as a probe, or not at all. */
export type Health = "healthy" | "probing" | "ejected";

/** The recent results and the ejection of a backend server. */
interface ServerState {
  consecutiveFailures: number;
  /** The most recent results; true means failure. */
  recent: boolean[];
  ejections: number;
  ejectedUntilMs: number | null;
  returnedAtMs: number | null;
}

/** Tracks the failures and ejections of the backend servers of one service. */
export class OutlierDetector {
  readonly #servers = new Map<string, ServerState>();

  /**
   * Records an answer, whatever its status. A success of a probe ends the ejection and starts the
   * slow start.
   */
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

  /**
   * Records a failed attempt. Returns true if it ejects a healthy backend server. A failed probe
   * starts another ejection.
   */
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

  /** The routing weight, from {@link SLOW_START_MIN_WEIGHT} to 1. */
  weight(backendServer: string, nowMs: number): number {
    const returnedAtMs = this.#servers.get(backendServer)?.returnedAtMs ?? null;
    if (returnedAtMs === null) return 1;
    const progress = (nowMs - returnedAtMs) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
  }

  /** Removes the state of backend servers that are not in `backendServers`. */
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
