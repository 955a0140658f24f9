/**
 * Runs a callback soon, late or never, with a least spacing between two runs.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** One timer with one callback; a sooner request replaces a later one. */
export class TurnTimer {
  readonly #clock: ports.clock.Clock;
  readonly #onTurn: () => void;
  #lastTurnAtMs = -Infinity;
  #dueAtMs = Infinity;
  #cancel: (() => void) | null = null;

  constructor(clock: ports.clock.Clock, onTurn: () => void) {
    this.#clock = clock;
    this.#onTurn = onTurn;
  }

  /** Asks for a run as soon as the spacing allows. */
  soon(spacingMs: number): void {
    this.at(Math.max(this.#clock.nowMs(), this.#lastTurnAtMs + spacingMs));
  }

  /** Asks for a run at a time. */
  at(dueAtMs: number): void {
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
    this.#lastTurnAtMs = this.#clock.nowMs();
    this.#onTurn();
  }
}
