/**
 * Time as the decisions see it.
 *
 * @module
 */

/** The time of one process. */
export interface Clock {
  /**
   * Milliseconds since the process started: never goes back, and moves by the larger of the monotonic
   * and the wall-clock time elapsed, so that it also covers a suspended VM.
   */
  nowMs(): number;
  /** Milliseconds since the Unix epoch, for records that people read. */
  wallMs(): number;
  /** Calls back once after a delay; the returned function cancels. */
  after(delayMs: number, callback: () => void): () => void;
}
