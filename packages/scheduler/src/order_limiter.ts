/**
 * Few orders at a time to one worker, so that a burst of starts needs few connections; one that stays
 * without an answer does not hold up the others.
 *
 * @module
 */
import { WakeSignal } from "./pause.ts";

/** Answers come within a few ms, so that three at a time keep a worker busy. */
const MAX_ORDER_SLOTS = 3;
/** An order that has waited so long is likely to stay without an answer. */
const SLOT_TIMEOUT_MS = 60;

/** The orders on their way to one worker. */
export class OrderLimiter {
  readonly #waiting: WakeSignal[] = [];
  #usedSlots = 0;

  /** Runs an order once there is room for it. */
  async run<T>(order: () => Promise<T> | undefined): Promise<T | undefined> {
    if (this.#usedSlots >= MAX_ORDER_SLOTS) {
      const slotSignal = new WakeSignal();
      this.#waiting.push(slotSignal);
      await slotSignal.wait();
    } else {
      this.#usedSlots++;
    }
    let holdsSlot = true;
    const releaseSlot = () => {
      if (holdsSlot) {
        holdsSlot = false;
        this.#releaseSlot();
      }
    };
    const timer = setTimeout(releaseSlot, SLOT_TIMEOUT_MS);
    try {
      return await order();
    } finally {
      clearTimeout(timer);
      releaseSlot();
    }
  }

  /** The next in line takes the place; without one it falls free. */
  #releaseSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#usedSlots--;
    } else {
      next.wake();
    }
  }
}
