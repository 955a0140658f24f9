/**
 * A clock that a test moves by hand.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Implements the clock port; timers run in the order of their times while the clock is moved. */
export class ManualClock implements ports.clock.Clock {
  readonly #wallOffsetMs: number;
  #timeMs = 0;
  #order = 0;
  #timers: Timer[] = [];

  constructor(wallOffsetMs = 0) {
    this.#wallOffsetMs = wallOffsetMs;
  }

  nowMs(): number {
    return this.#timeMs;
  }

  wallMs(): number {
    return this.#wallOffsetMs + this.#timeMs;
  }

  after(delayMs: number, callback: () => void): () => void {
    this.#order += 1;
    const timer = { atMs: this.#timeMs + delayMs, order: this.#order, callback };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Moves the clock on, running each timer at its time. */
  advance(durationMs: number): void {
    const endMs = this.#timeMs + durationMs;
    for (let next = this.#takeDue(endMs); next !== null; next = this.#takeDue(endMs)) {
      this.#timeMs = Math.max(this.#timeMs, next.atMs);
      next.callback();
    }
    this.#timeMs = endMs;
  }

  #takeDue(endMs: number): Timer | null {
    const due = this.#timers.filter((timer) => timer.atMs <= endMs);
    due.sort((left, right) => left.atMs - right.atMs || left.order - right.order);
    const next = due[0] ?? null;
    this.#timers = this.#timers.filter((timer) => timer !== next);
    return next;
  }
}
