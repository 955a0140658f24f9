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

/**
 * Adds up, between any two reads, the larger of the monotonic and the wall-clock time elapsed. The
 * monotonic clock may stand still while a VM is suspended; the wall clock may be set back.
 */
export class SystemClock implements ports.clock.Clock {
  readonly #sources: TimeSources;
  #lastMonotonicMs: number;
  #lastWallMs: number;
  #elapsedMs = 0;

  constructor(sources: TimeSources = SYSTEM_TIME) {
    this.#sources = sources;
    this.#lastMonotonicMs = sources.monotonicMs();
    this.#lastWallMs = sources.wallMs();
  }

  nowMs(): number {
    const monotonicMs = this.#sources.monotonicMs();
    const wallMs = this.#sources.wallMs();
    const passedMs = Math.max(monotonicMs - this.#lastMonotonicMs, wallMs - this.#lastWallMs, 0);
    this.#lastMonotonicMs = monotonicMs;
    this.#lastWallMs = wallMs;
    this.#elapsedMs += passedMs;
    return this.#elapsedMs;
  }

  wallMs(): number {
    return this.#sources.wallMs();
  }

  after(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}
