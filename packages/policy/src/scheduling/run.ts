/**
 * One run of a task on a worker.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { StepRecord, TaskRecord } from "./job_record.ts";

/**
 * `starting`: ordered, and no answer yet, so it may run or may come to run. `stopping`: a stop is ordered.
 * All three take room on the worker and count against the workspace's limit.
 */
export type RunState = "starting" | "running" | "stopping";

/** A run from its order until its end is known. */
export interface Run {
  readonly step: StepRecord;
  readonly task: TaskRecord;
  readonly runId: number;
  readonly workerId: string;
  readonly orderedAtMs: number;
  readonly room: schema.scheduling.Resources;
  state: RunState;
  /** When the worker confirmed the start; undefined before. */
  confirmedAtMs: number | undefined;
  /** A report that was asked for after this time tells for sure whether the run exists. */
  verifyAfterMs: number | undefined;
  percent: number;
  /** When the percentage last rose. */
  advancedAtMs: number;
  /** Tail of response times in ms, or millicores in use. */
  load: number;
  /** The share of its speed at which the run was last told to work. */
  pacePercent: number;
  pacedAtMs: number;
}

export function runKey(taskName: string, runId: number): string {
  return `${taskName}#${runId}`;
}
