/**
 * Delays and wake-up signals for polling loops.
 *
 * @module
 */

/** Resolves after a delay. */
export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Wakes a sleeping loop; a wake-up while nothing waits ends the next wait at once. */
export class WakeSignal {
  #isPending = false;
  #wake: (() => void) | undefined;

  /** Ends the current wait, or the next one if nothing waits. */
  wake(): void {
    if (this.#wake === undefined) {
      this.#isPending = true;
    } else {
      this.#wake();
    }
  }

  /** Forgets a wake-up that came while nothing was waiting. */
  reset(): void {
    this.#isPending = false;
  }

  /** Resolves at the next wake-up, or after `maxMs`. */
  async wait(maxMs?: number): Promise<void> {
    if (this.#isPending) {
      this.#isPending = false;
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = maxMs === undefined ? undefined : setTimeout(resolve, maxMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = undefined;
  }
}
