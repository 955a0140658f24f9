/**
 * A clock that tests move.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Stands still until it is advanced; timers are not offered. */
export class VirtualClock implements ports.clock.Clock {
  #nowMs = 1_000_000;

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs;
  }

  advance(elapsedMs: number): void {
    this.#nowMs += elapsedMs;
  }

  after(): () => void {
    return () => {};
  }
}
