/**
 * A clock without timers that tests advance.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Stands still until it is advanced. Its timers never fire. */
export class VirtualClock implements ports.clock.Clock {
  #nowMs = 1_000_000;
  #aheadMs = 0;

  nowMs(): number {
    return this.#nowMs + this.#aheadMs;
  }

  steadyMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs + this.#aheadMs;
  }

  /** Sets the wall clock forward. */
  setForward(jumpMs: number): void {
    this.#aheadMs += jumpMs;
  }

  advance(elapsedMs: number): void {
    this.#nowMs += elapsedMs;
  }

  after(): () => void {
    return () => {};
  }
}
