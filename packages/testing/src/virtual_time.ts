/**
 * A clock without timers that tests advance.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Stands still until it is advanced. Its timers never fire. */
export class VirtualClock implements ports.clock.Clock {
  #nowMs = 1_000_000;

  nowMs(): number {
    return this.#nowMs;
  }

  steadyMs(): number {
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
