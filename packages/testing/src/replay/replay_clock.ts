/**
 * A clock in simulated time that lets pending promises settle between timers.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Fires timers in order of their time; timers with the same time fire in order of creation. */
export class ReplayClock implements ports.clock.Clock {
  /** Sorted latest first, so that the next timer is popped from the end. */
  readonly #timers: Timer[] = [];
  #nowMs = 0;
  #sequence = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  steadyMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, callback: () => void): () => void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#sequence += 1;
    const timer: Timer = { atMs, sequence: this.#sequence, callback, isCancelled: false };
    this.#timers.splice(this.#placeOf(timer), 0, timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Fires all timers up to the given time and advances to it. */
  async runUntil(untilMs: number): Promise<void> {
    for (let next = this.#timers.at(-1); next !== undefined; next = this.#timers.at(-1)) {
      if (next.atMs > untilMs) break;
      this.#timers.pop();
      if (next.isCancelled) continue;
      this.#nowMs = next.atMs;
      next.callback();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#nowMs = untilMs;
  }

  #placeOf(timer: Timer): number {
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#timers[middle]!.atMs > timer.atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
