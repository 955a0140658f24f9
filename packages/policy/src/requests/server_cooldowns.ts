/**
 * Cooldowns of backend servers that have signalled that they are shutting down or that could not be
 * reached. A backend server gets no requests during its cooldown.
 *
 * @module
 */

/** Cooldown after a backend server announced its shutdown, such as by closing its connection. */
export const SHUTDOWN_COOLDOWN_MS = 10_000;
/** Cooldown after a request could not be sent, such as when a connection was refused. */
export const UNREACHABLE_COOLDOWN_MS = 1_000;

/** Upper bound. Each signal that follows a cooldown without a normal answer doubles the next. */
export const MAX_COOLDOWN_MS = 60_000;

/** The end and the length of a cooldown. */
interface Cooldown {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** The cooldowns of the backend servers of one service. */
export class ServerCooldowns {
  readonly #cooldowns = new Map<string, Cooldown>();

  /** Starts a cooldown, or extends the current one without doubling it. */
  start(
    backendServer: string,
    { nowMs, durationMs }: { nowMs: number; durationMs: number },
  ): void {
    const last = this.#cooldowns.get(backendServer);
    if (last !== undefined && nowMs < last.untilMs) {
      const untilMs = Math.max(last.untilMs, nowMs + durationMs);
      this.#cooldowns.set(backendServer, { untilMs, durationMs: last.durationMs });
      return;
    }
    const unboundedMs = last === undefined ? durationMs : Math.max(durationMs, 2 * last.durationMs);
    const nextDurationMs = Math.min(MAX_COOLDOWN_MS, unboundedMs);
    this.#cooldowns.set(backendServer, {
      untilMs: nowMs + nextDurationMs,
      durationMs: nextDurationMs,
    });
  }

  /**
   * Records an answer without a shutdown signal. It resets the doubling after a cooldown, but
   * doesn't end a current cooldown.
   */
  recordAnswer(backendServer: string, nowMs: number): void {
    if (!this.isCoolingDown(backendServer, nowMs)) this.#cooldowns.delete(backendServer);
  }

  isCoolingDown(backendServer: string, nowMs: number): boolean {
    return nowMs < (this.#cooldowns.get(backendServer)?.untilMs ?? 0);
  }

  /** Removes the state of backend servers that are not in `backendServers`. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const name of this.#cooldowns.keys()) {
      if (!backendServers.has(name)) this.#cooldowns.delete(name);
    }
  }
}
