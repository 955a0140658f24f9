/**
 * The time source used by all decisions.
 *
 * @module
 */

/**
 * The clock of a process. Neither source knows the elapsed time for certain: the monotonic clock may stop
 * while the VM is suspended, and the wall clock may be set. So there are two readings, on one scale, between
 * which the true time lies. A right of this process has to be over by the upper one, `nowMs`; what another
 * process may still do is over only by the lower one, `steadyMs`.
 */
export interface Clock {
  /**
   * Milliseconds since the process started, at most. Never goes backwards, and advances by the larger of
   * the elapsed monotonic and wall-clock time, so that time during which the VM was suspended counts
   * too.
   */
  nowMs(): number;
  /**
   * Milliseconds since the process started, at least: the monotonic clock alone. For how long another
   * process may act: the leases of workers, orders of a previous owner, orders without a response.
   */
  steadyMs(): number;
  /** Milliseconds since the Unix epoch, for timestamps in records and logs. */
  wallMs(): number;
  /** Calls `callback` once after a delay. The returned function cancels the timer. */
  after(delayMs: number, callback: () => void): () => void;
}
