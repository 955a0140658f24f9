/**
 * Which backend servers have told, by their answers, that they are about to stop.
 *
 * @module
 */

/** A backend server that closed its connection on purpose is left alone for so long. */
export const LEAVING_HOLD_MS = 10_000;
/** One that refused a connection is left alone for so long. */
export const REFUSED_HOLD_MS = 1_000;

/** Follows the backend servers of one service. */
export class Leaving {
  readonly #untilMs = new Map<string, number>();

  /** Leaves a backend server alone for a while. */
  note(backendServer: string, { nowMs, holdMs }: { nowMs: number; holdMs: number }): void {
    const untilMs = Math.max(this.#untilMs.get(backendServer) ?? 0, nowMs + holdMs);
    this.#untilMs.set(backendServer, untilMs);
  }

  isLeaving(backendServer: string, nowMs: number): boolean {
    return nowMs < (this.#untilMs.get(backendServer) ?? 0);
  }

  /** Forgets backend servers that the configuration no longer names. */
  retain(backendServers: ReadonlySet<string>): void {
    for (const name of this.#untilMs.keys()) {
      if (!backendServers.has(name)) this.#untilMs.delete(name);
    }
  }
}
