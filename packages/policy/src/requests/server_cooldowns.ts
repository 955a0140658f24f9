/**
 * Which backend servers have told, by their answers, that they are about to stop.
 *
 * @module
 */

/** A backend server that closed its connection on purpose is left alone for so long. */
export const SHUTDOWN_COOLDOWN_MS = 10_000;
/** One that refused a connection is left alone for so long. */
export const UNREACHABLE_COOLDOWN_MS = 1_000;

/** The longest time; each further sign right after such a time doubles the next. */
export const MAX_COOLDOWN_MS = 60_000;

/** Until when a backend server is left alone, and how long that time was. */
interface Cooldown {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** Follows the backend servers of one service. */
export class ServerCooldowns {
  readonly #holds = new Map<string, Cooldown>();

  /** Leaves a backend server alone for a while. */
  start(
    backendServer: string,
    { nowMs, durationMs }: { nowMs: number; durationMs: number },
  ): void {
    const last = this.#holds.get(backendServer);
    if (last !== undefined && nowMs < last.untilMs) {
      const untilMs = Math.max(last.untilMs, nowMs + durationMs);
      this.#holds.set(backendServer, { untilMs, durationMs: last.durationMs });
      return;
    }
    const longerMs = last === undefined ? durationMs : Math.max(durationMs, 2 * last.durationMs);
    const boundedMs = Math.min(MAX_COOLDOWN_MS, longerMs);
    this.#holds.set(backendServer, { untilMs: nowMs + boundedMs, durationMs: boundedMs });
  }

  /** An answer without any such sign came; it ends nothing while the time runs. */
  recordAnswer(backendServer: string, nowMs: number): void {
    if (!this.isCoolingDown(backendServer, nowMs)) this.#holds.delete(backendServer);
  }

  isCoolingDown(backendServer: string, nowMs: number): boolean {
    return nowMs < (this.#holds.get(backendServer)?.untilMs ?? 0);
  }

  /** Forgets backend servers that the configuration no longer names. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const name of this.#holds.keys()) {
      if (!backendServers.has(name)) this.#holds.delete(name);
    }
  }
}
