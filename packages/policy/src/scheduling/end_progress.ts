/**
 * Tracks how far the ends of one worker's tasks have been handled: listed by the worker, processed,
 * stored, and acknowledged. Each incarnation of a worker numbers its ends from 1.
 *
 * @module
 */

interface ListedReport {
  readonly endNumber: number;
  readonly listedAtMs: number;
}

/**
 * The ends of one incarnation of a worker; each field is the number of the last end in that phase.
 */
export class EndProgress {
  /** The worker has reported the end. */
  listed = 0;
  /** Decisions take the end into account. */
  processed = 0;
  /** The effect of the end is stored. If the worker fails, later ends are lost. */
  stored = 0;
  /** The worker may discard the end. */
  acknowledged = 0;
  /** The reports that listed new ends which are not all acknowledged. */
  readonly #unacknowledgedReports: ListedReport[] = [];

  /** Records the last end that a report listed. */
  recordListed(endNumber: number, nowMs: number): void {
    if (endNumber > this.listed) {
      this.listed = endNumber;
      this.#unacknowledgedReports.push({ endNumber, listedAtMs: nowMs });
    }
  }

  /**
   * Records an acknowledgement; returns how long each report now acknowledged in full had waited,
   * in ms.
   */
  recordAcknowledged(endNumber: number, nowMs: number): number[] {
    this.acknowledged = Math.max(this.acknowledged, endNumber);
    const waitsMs: number[] = [];
    while (
      this.#unacknowledgedReports.length > 0 &&
      this.#unacknowledgedReports[0]!.endNumber <= this.acknowledged
    ) {
      waitsMs.push(nowMs - this.#unacknowledgedReports.shift()!.listedAtMs);
    }
    return waitsMs;
  }

  /** How long the oldest unacknowledged report has waited, in ms; zero if there is none. */
  oldestWaitMs(nowMs: number): number {
    const oldest = this.#unacknowledgedReports[0];
    return oldest === undefined ? 0 : nowMs - oldest.listedAtMs;
  }
}
