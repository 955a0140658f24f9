/**
 * The runs that may be at work on one worker and that the scheduler no longer tracks: those that were given
 * up as the worker's lease seemed to have expired, which may also start yet, and those of jobs that are over
 * and forgotten. Nobody wants them, so they are stopped by their names.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { runKey } from "./job_record.ts";

/** How long a worker may take to carry out a stop; it takes up to 0.9 s on the known sites. */
export const STOP_EFFECT_MS = 1_000;

/** A run as workers know it. */
export interface RunName {
  readonly task: string;
  readonly runId: number;
}

interface StrayRun extends RunName {
  /** Whether a stop has been ordered whose outcome isn't known. */
  isStopUnderWay: boolean;
  /** When the worker accepted the last stop; undefined if it has not. */
  stopAcceptedAtMs: number | undefined;
}

/** Keeps each stray run until a report shows that it is over, or it is tracked again. */
export class StrayRuns {
  readonly #runs = new Map<string, StrayRun>();

  get size(): number {
    return this.#runs.size;
  }

  add({ task, runId }: RunName): void {
    const key = runKey(task, runId);
    if (!this.#runs.has(key)) {
      this.#runs.set(key, { task, runId, isStopUnderWay: false, stopAcceptedAtMs: undefined });
    }
  }

  /** Whether a stop has been ordered that can no longer be recalled. */
  isBeingStopped({ task, runId }: RunName): boolean {
    const stray = this.#runs.get(runKey(task, runId));
    return stray !== undefined && (stray.isStopUnderWay || stray.stopAcceptedAtMs !== undefined);
  }

  /** Whether a report is needed to learn what has become of a run. */
  get isReportDue(): boolean {
    return [...this.#runs.values()].some(({ isStopUnderWay }) => !isStopUnderWay);
  }

  /**
   * Forgets the runs that a report, requested at `sentAtMs`, shows to be over, and those that are tracked
   * again. Returns the runs to stop now.
   */
  applyReport(
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
    for (const [key, stray] of this.#runs) {
      const stoppedAtMs = stray.stopAcceptedAtMs ?? Infinity;
      // Without an accepted stop, a run that is not listed may start yet.
      const isOver = ended.has(key) || (stoppedAtMs < sentAtMs && !atWork.has(key));
      if (isOver || isTracked(key)) {
        this.#runs.delete(key);
      } else if (
        !stray.isStopUnderWay && (atWork.has(key) || !hasMoreEnds) &&
        (stray.stopAcceptedAtMs === undefined || stoppedAtMs + STOP_EFFECT_MS < sentAtMs)
      ) {
        stray.isStopUnderWay = true;
        stops.push(stray);
      }
    }
    return stops;
  }

  /** Records the outcome of a stop; `acceptedAtMs` is undefined if it failed. */
  recordStop({ task, runId }: RunName, acceptedAtMs: number | undefined): void {
    const stray = this.#runs.get(runKey(task, runId));
    if (stray !== undefined) {
      stray.isStopUnderWay = false;
      stray.stopAcceptedAtMs = acceptedAtMs;
    }
  }
}
