/**
 * Runs a callback soon, late or never, with a least spacing between two runs.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** One timer with one callback; a sooner request replaces a later one. */
export class ThrottledTimer {
  readonly #clock: ports.clock.Clock;
  readonly #callback: () => void;
  #lastRunAtMs = -Infinity;
  #dueAtMs = Infinity;
  #cancel: (() => void) | null = null;

  constructor(clock: ports.clock.Clock, onTurn: () => void) {
    this.#clock = clock;
    this.#callback = onTurn;
  }

  /** Asks for a run as soon as the spacing allows. */
  runSoon(spacingMs: number): void {
    this.runAt(Math.max(this.#clock.nowMs(), this.#lastRunAtMs + spacingMs));
  }

  /** Asks for a run at a time. */
  runAt(dueAtMs: number): void {
    if (dueAtMs >= this.#dueAtMs) return;
    this.#cancel?.();
    this.#dueAtMs = dueAtMs;
    const delayMs = Math.max(0, Math.ceil(dueAtMs - this.#clock.nowMs()));
    this.#cancel = this.#clock.after(delayMs, () => this.#run());
  }

  /** Forgets what was asked for. */
  stop(): void {
    this.#cancel?.();
    this.#cancel = null;
    this.#dueAtMs = Infinity;
  }

  #run(): void {
    this.#cancel = null;
    this.#dueAtMs = Infinity;
    this.#lastRunAtMs = this.#clock.nowMs();
    this.#callback();
  }
}
