/**
 * The clock of a process.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Sources of time, replaced in tests. */
export interface TimeSources {
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
}

const SYSTEM_TIME: TimeSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Two clocks that differ by less only differ in grain and in the moment of the reading. */
const MIN_JUMP_MS = 50;

/**
 * The monotonic clock, moved on where the wall clock leaps ahead of it: the monotonic one may stand still
 * while a VM is suspended. A wall clock that is set back changes nothing.
 */
export class SystemClock implements ports.clock.Clock {
  readonly #sources: TimeSources;
  readonly #startMonotonicMs: number;
  readonly #startWallMs: number;
  /** How far the wall clock was ahead of the monotonic one at the last leap. */
  #skewMs = 0;
  #suspendedMs = 0;

  constructor(sources: TimeSources = SYSTEM_TIME) {
    this.#sources = sources;
    this.#startMonotonicMs = sources.monotonicMs();
    this.#startWallMs = sources.wallMs();
  }

  nowMs(): number {
    const monotonicMs = this.#sources.monotonicMs() - this.#startMonotonicMs;
    const skewMs = this.#sources.wallMs() - this.#startWallMs - monotonicMs;
    const jumpMs = skewMs - this.#skewMs;
    if (Math.abs(jumpMs) >= MIN_JUMP_MS) {
      this.#skewMs = skewMs;
      this.#suspendedMs += Math.max(0, jumpMs);
    }
    return monotonicMs + this.#suspendedMs;
  }

  wallMs(): number {
    return this.#sources.wallMs();
  }

  after(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}
