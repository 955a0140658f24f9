/**
 * Tells whether a worker may have restarted before the last orders to it. Orders name a worker by its id,
 * which a restart keeps, and a report request acknowledges ends by numbers that each incarnation counts from
 * 1. So the numbers of one incarnation must not reach the next, or that one would discard ends that nobody
 * has read.
 *
 * @module
 */

/** A clock that starts anew with the worker's process need not start at zero. */
const MAX_FIRST_CLOCK_MS = 1_000;

/** An answer of a worker, whose clock was read between the request and the answer. */
export interface ClockReading {
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
  readonly workerClockMs: number;
}

/** What shows that one incarnation of a worker is alive. All times are on the upper reading of the clock. */
export class IncarnationProof {
  /** The incarnation was alive at this time or later. */
  #aliveAtMs = Number.NEGATIVE_INFINITY;
  /** The earliest time at which the worker's clock can have started, by the readings so far. */
  #clockStartMs = Number.NEGATIVE_INFINITY;
  /** When it was last unclear which incarnation a start order had reached. */
  #doubtfulAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a start order got no answer, though it may have been carried out. */
  recordUnanswered(nowMs: number): void {
    this.#doubtfulAtMs = nowMs;
  }

  /**
   * Records an answer without a start time. A worker's clock starts with its process and isn't fast, so one
   * that shows more time than has passed since the incarnation was seen belongs to that incarnation.
   */
  recordAnswer(reading: ClockReading): void {
    const { workerClockMs, receivedAtMs } = reading;
    if (workerClockMs - MAX_FIRST_CLOCK_MS > receivedAtMs - this.#aliveAtMs) {
      this.recordReport(reading);
    } else {
      this.#doubtfulAtMs = receivedAtMs;
    }
  }

  /** Records that a report came from the incarnation. */
  recordReport({ sentAtMs, workerClockMs }: ClockReading): void {
    // The clock isn't fast, so that it shows how long after an earlier reading a report was made that waited.
    this.#clockStartMs = Math.max(this.#clockStartMs, sentAtMs - workerClockMs);
    this.#aliveAtMs = Math.max(this.#aliveAtMs, this.#clockStartMs + workerClockMs);
  }

  /** Whether a later incarnation may have run a task, so that it must not get an acknowledgement. */
  get isInDoubt(): boolean {
    return this.#doubtfulAtMs > this.#aliveAtMs;
  }
}
