/**
 * Waiting within loops.
 *
 * @module
 */

/** Resolves after a delay. */
export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Lets a loop sleep until it is woken; a wake-up while the loop is busy is kept. */
export class WakeSignal {
  #isPending = false;
  #wake: (() => void) | undefined;

  wake(): void {
    if (this.#wake === undefined) {
      this.#isPending = true;
    } else {
      this.#wake();
    }
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
