/**
 * Few orders at a time to one worker, so that a burst of starts needs few connections; one that stays
 * without an answer does not hold up the others.
 *
 * @module
 */
import { WakeUp } from "./pause.ts";

/** Answers come within a few ms, so that three at a time keep a worker busy. */
const MAX_FRESH_ORDERS = 3;
/** An order that has waited so long is likely to stay without an answer. */
const FRESH_MS = 60;

/** The orders on their way to one worker. */
export class OrderGate {
  readonly #waiting: WakeUp[] = [];
  #freshCount = 0;

  /** Runs an order once there is room for it. */
  async run<T>(order: () => Promise<T> | undefined): Promise<T | undefined> {
    if (this.#freshCount >= MAX_FRESH_ORDERS) {
      const turn = new WakeUp();
      this.#waiting.push(turn);
      await turn.wait();
    } else {
      this.#freshCount++;
    }
    let isFresh = true;
    const leave = () => {
      if (isFresh) {
        isFresh = false;
        this.#passOn();
      }
    };
    const timer = setTimeout(leave, FRESH_MS);
    try {
      return await order();
    } finally {
      clearTimeout(timer);
      leave();
    }
  }

  /** The next in line takes the place; without one it falls free. */
  #passOn(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#freshCount--;
    } else {
      next.wake();
    }
  }
}
