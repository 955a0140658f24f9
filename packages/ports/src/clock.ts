/**
 * The time source used by all decisions.
 *
 * @module
 */

/** The clock of a process. */
export interface Clock {
  /**
   * Milliseconds since the process started. Never goes backwards, and advances by the larger of the
   * elapsed monotonic and wall-clock time, so that time during which the VM was suspended counts
   * too.
   */
  nowMs(): number;
  /** Milliseconds since the Unix epoch, for timestamps in records and logs. */
  wallMs(): number;
  /** Calls `callback` once after a delay. The returned function cancels the timer. */
  after(delayMs: number, callback: () => void): () => void;
}
