/**
 * The system clock.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** The time sources of the clock; tests replace them. */
export interface TimeSources {
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
}

const SYSTEM_TIME: TimeSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Smaller differences between the clocks come from their resolution and the order of the reads. */
const MIN_JUMP_MS = 50;

/** Options of {@link SystemClock}. */
export interface SystemClockOptions {
  readonly sources?: TimeSources;
  /** Called when the wall clock has jumped against the monotonic clock, by a negative `jumpMs` if back. */
  readonly onWallClockJump?: (jumpMs: number) => void;
}

/**
 * The monotonic clock as the lower reading. The upper one is advanced when the wall clock jumps ahead,
 * because the monotonic clock may stop while the VM is suspended. Setting the wall clock back has no effect.
 */
export class SystemClock implements ports.clock.Clock {
  readonly #sources: TimeSources;
  readonly #onWallClockJump: ((jumpMs: number) => void) | undefined;
  readonly #startMonotonicMs: number;
  readonly #startWallMs: number;
  /** How far the wall clock was ahead of the monotonic clock at the last jump. */
  #skewMs = 0;
  #suspendedMs = 0;

  constructor({ sources = SYSTEM_TIME, onWallClockJump }: SystemClockOptions = {}) {
    this.#sources = sources;
    this.#onWallClockJump = onWallClockJump;
    this.#startMonotonicMs = sources.monotonicMs();
    this.#startWallMs = sources.wallMs();
  }

  nowMs(): number {
    const monotonicMs = this.steadyMs();
    const jumpMs = this.#wallClockJumpMs(monotonicMs);
    if (Math.abs(jumpMs) < MIN_JUMP_MS) {
      return monotonicMs + this.#suspendedMs;
    }
    // Preemption between the two reads adds to the difference, so a second pair has to confirm it.
    const confirmedAtMs = this.steadyMs();
    this.#applyJump(Math.min(jumpMs, this.#wallClockJumpMs(confirmedAtMs)));
    return confirmedAtMs + this.#suspendedMs;
  }

  steadyMs(): number {
    return this.#sources.monotonicMs() - this.#startMonotonicMs;
  }

  wallMs(): number {
    return this.#sources.wallMs();
  }

  /** How far the wall clock has moved against the monotonic clock since the last jump. */
  #wallClockJumpMs(monotonicMs: number): number {
    return this.#sources.wallMs() - this.#startWallMs - monotonicMs - this.#skewMs;
  }

  #applyJump(jumpMs: number): void {
    if (Math.abs(jumpMs) >= MIN_JUMP_MS) {
      this.#skewMs += jumpMs;
      this.#suspendedMs += Math.max(0, jumpMs);
      this.#onWallClockJump?.(jumpMs);
    }
  }

  after(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}
