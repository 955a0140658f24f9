/**
 * The runs of one worker that were given up without evidence of their end, as the worker's lease seemed to
 * have expired. Such a run may be at work, or start yet if the order got no answer.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { type Run, runKey } from "./job_record.ts";

/** A run as workers know it. */
export interface RunName {
  readonly task: string;
  readonly runId: number;
}

interface LostRun extends RunName {
  /** Whether a stop has been ordered whose outcome isn't known. */
  isStopUnderWay: boolean;
  /** When the worker accepted the last stop; undefined if it has not. */
  stopAcceptedAtMs: number | undefined;
}

/** Keeps each run until a report shows that it is over, or it is tracked again. */
export class LostRuns {
  readonly #runs = new Map<string, LostRun>();

  get size(): number {
    return this.#runs.size;
  }

  has({ task, runId }: RunName): boolean {
    return this.#runs.has(runKey(task, runId));
  }

  record({ task: { name: task }, runId }: Run): void {
    const lost = { task, runId, isStopUnderWay: false, stopAcceptedAtMs: undefined };
    this.#runs.set(runKey(task, runId), lost);
  }

  /** Whether a report is needed to learn what has become of a run. */
  get isReportDue(): boolean {
    return [...this.#runs.values()].some(({ isStopUnderWay }) => !isStopUnderWay);
  }

  /**
   * Settles the runs that a report, requested at `sentAtMs`, shows to be over, and those that are tracked
   * again. Returns the runs to stop: one that is not listed may start yet, unless a stop was accepted before.
   */
  settle(
    { running, ends, hasMoreEnds }: schema.scheduling.WorkerReport,
    { sentAtMs, isTracked }: {
      readonly sentAtMs: number;
      readonly isTracked: (key: string) => boolean;
    },
  ): RunName[] {
    if (this.#runs.size === 0) {
      return [];
    }
    const atWork = new Set(running.map(({ task, runId }) => runKey(task, runId)));
    const ended = new Set(ends.map(({ task, runId }) => runKey(task, runId)));
    const stops: RunName[] = [];
    for (const [key, lost] of this.#runs) {
      const { isStopUnderWay, stopAcceptedAtMs } = lost;
      const isAfterStop = stopAcceptedAtMs !== undefined && stopAcceptedAtMs < sentAtMs;
      if (ended.has(key) || isTracked(key) || (isAfterStop && !atWork.has(key))) {
        this.#runs.delete(key);
        continue;
      }
      const isStopUnconfirmed = isStopUnderWay || (stopAcceptedAtMs !== undefined && !isAfterStop);
      const mayHaveEnded = hasMoreEnds && !atWork.has(key);
      if (!isStopUnconfirmed && !mayHaveEnded) {
        lost.isStopUnderWay = true;
        stops.push(lost);
      }
    }
    return stops;
  }

  /** Records the outcome of a stop; `acceptedAtMs` is undefined if it failed. Other runs are left alone. */
  recordStop({ task, runId }: RunName, acceptedAtMs: number | undefined): void {
    const lost = this.#runs.get(runKey(task, runId));
    if (lost !== undefined) {
      lost.isStopUnderWay = false;
      lost.stopAcceptedAtMs = acceptedAtMs;
    }
  }
}
