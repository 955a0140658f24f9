/**
 * A timer that coalesces requests to run one callback and keeps a minimum interval between two
 * runs.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Runs one callback at the earliest requested time; later requests are merged into that run. */
export class ThrottledTimer {
  readonly #clock: ports.clock.Clock;
  readonly #callback: () => void;
  #lastRunAtMs = -Infinity;
  #dueAtMs = Infinity;
  #cancel: (() => void) | null = null;

  constructor(clock: ports.clock.Clock, callback: () => void) {
    this.#clock = clock;
    this.#callback = callback;
  }

  /** Requests a run as soon as `minIntervalMs` has passed since the last run. */
  runSoon(minIntervalMs: number): void {
    this.runAt(Math.max(this.#clock.steadyMs(), this.#lastRunAtMs + minIntervalMs));
  }

  /** Requests a run at a time on the clock's steady reading; ignored if one is scheduled for that time or earlier. */
  runAt(dueAtMs: number): void {
    if (dueAtMs >= this.#dueAtMs) return;
    this.#cancel?.();
    this.#dueAtMs = dueAtMs;
    const delayMs = Math.max(0, Math.ceil(dueAtMs - this.#clock.steadyMs()));
    this.#cancel = this.#clock.after(delayMs, () => this.#run());
  }

  /** Cancels the scheduled run. */
  stop(): void {
    this.#cancel?.();
    this.#cancel = null;
    this.#dueAtMs = Infinity;
  }

  #run(): void {
    this.#cancel = null;
    this.#dueAtMs = Infinity;
    this.#lastRunAtMs = this.#clock.steadyMs();
    this.#callback();
  }
}
