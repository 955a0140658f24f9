/**
 * Limits the concurrent orders to one worker, so that a burst of starts needs few connections. An order
 * that gets no response gives up its slot early, and so does not block the others.
 *
 * @module
 */
import { WakeSignal } from "./pause.ts";

/** Workers respond within a few ms, so three concurrent orders keep a worker busy. */
const MAX_ORDER_SLOTS = 3;
/** An order that has waited this long for a response is unlikely to get one, and releases its slot. */
const SLOT_TIMEOUT_MS = 60;

/** Limits the in-flight orders to one worker; waiting orders run in FIFO order. */
export class OrderLimiter {
  readonly #waiting: WakeSignal[] = [];
  #usedSlots = 0;

  /** Runs an order once a slot is free. */
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

  /** Passes the slot to the next waiting order, or frees it if none waits. */
  #releaseSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#usedSlots--;
    } else {
      next.wake();
    }
  }
}
