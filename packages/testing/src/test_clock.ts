/**
 * A clock with timers that a test advances.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

interface Timer {
  readonly atMs: number;
  readonly callback: () => void;
}

/**
 * Stands still until it is advanced. With `isAutoAdvancing`, each timer fires in the next turn of the
 * event loop and advances the clock to its time.
 */
export class TestClock implements ports.clock.Clock {
  readonly #timers = new Set<Timer>();
  readonly #isAutoAdvancing: boolean;
  readonly #wallStartMs: number;
  #nowMs = 0;

  constructor(
    { isAutoAdvancing = false, wallStartMs = 0 }: {
      isAutoAdvancing?: boolean;
      wallStartMs?: number;
    } = {},
  ) {
    this.#isAutoAdvancing = isAutoAdvancing;
    this.#wallStartMs = wallStartMs;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  steadyMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#wallStartMs + this.#nowMs;
  }

  after(delayMs: number, callback: () => void): () => void {
    const timer = { atMs: this.#nowMs + delayMs, callback };
    this.#timers.add(timer);
    if (this.#isAutoAdvancing) setImmediate(() => this.#fire(timer));
    return () => this.#timers.delete(timer);
  }

  /** Advances the time and fires the timers that expire, in order of their time. */
  advance(elapsedMs: number): void {
    const untilMs = this.#nowMs + elapsedMs;
    for (let due = this.#firstDue(untilMs); due !== undefined; due = this.#firstDue(untilMs)) {
      this.#fire(due);
    }
    this.#nowMs = untilMs;
  }

  #firstDue(untilMs: number): Timer | undefined {
    const due = [...this.#timers].filter((timer) => timer.atMs <= untilMs);
    return due.sort((left, right) => left.atMs - right.atMs)[0];
  }

  #fire(timer: Timer): void {
    if (!this.#timers.delete(timer)) return;
    this.#nowMs = Math.max(this.#nowMs, timer.atMs);
    timer.callback();
  }
}
