/**
 * Which backend servers have told, by their answers, that they are about to stop.
 *
 * @module
 */

/** A backend server that closed its connection on purpose is left alone for so long. */
export const LEAVING_HOLD_MS = 10_000;
/** One that refused a connection is left alone for so long. */
export const REFUSED_HOLD_MS = 1_000;

/** The longest time; each further sign right after such a time doubles the next. */
export const MAX_HOLD_MS = 60_000;

/** Until when a backend server is left alone, and how long that time was. */
interface Hold {
  readonly untilMs: number;
  readonly holdMs: number;
}

/** Follows the backend servers of one service. */
export class Leaving {
  readonly #holds = new Map<string, Hold>();

  /** Leaves a backend server alone for a while. */
  note(backendServer: string, { nowMs, holdMs }: { nowMs: number; holdMs: number }): void {
    const last = this.#holds.get(backendServer);
    if (last !== undefined && nowMs < last.untilMs) {
      const untilMs = Math.max(last.untilMs, nowMs + holdMs);
      this.#holds.set(backendServer, { untilMs, holdMs: last.holdMs });
      return;
    }
    const longerMs = last === undefined ? holdMs : Math.max(holdMs, 2 * last.holdMs);
    const boundedMs = Math.min(MAX_HOLD_MS, longerMs);
    this.#holds.set(backendServer, { untilMs: nowMs + boundedMs, holdMs: boundedMs });
  }

  /** An answer without any such sign came; it ends nothing while the time runs. */
  stayed(backendServer: string, nowMs: number): void {
    if (!this.isLeaving(backendServer, nowMs)) this.#holds.delete(backendServer);
  }

  isLeaving(backendServer: string, nowMs: number): boolean {
    return nowMs < (this.#holds.get(backendServer)?.untilMs ?? 0);
  }

  /** Forgets backend servers that the configuration no longer names. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const name of this.#holds.keys()) {
      if (!backendServers.has(name)) this.#holds.delete(name);
    }
  }
}
