/**
 * The choice of a worker for a task.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import type { StepRecord, TaskRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Away from its data a task takes a multiple of its time; that outweighs any packing. */
const OTHER_RACK_PENALTY = 100;
/** A worker on which the task has failed is the last resort. */
const FAILED_HERE_PENALTY = 1_000;
/**
 * A worker that is due for maintenance is left to fall idle. A lasting task there would have to move again,
 * one of its step at a time, so that this outweighs a whole step of 24 on one worker.
 */
const LEAVING_PENALTY = 50;
/** Two lasting tasks of a step on one worker would be lost together. */
const SAME_STEP_PENALTY = 2;
/** For each failure in a row on the worker. */
const FAILURE_PENALTY = 10;

/** A step, and what limits the workers for it. */
export interface EligibilityRequest {
  readonly step: StepRecord;
  readonly workers: readonly WorkerRecord[];
  readonly nowMs: number;
  /** Workers that the queue's policy allows; undefined where all are. */
  readonly allowed?: ReadonlyMap<string, unknown>;
  /** Workers kept free for a task that found no room. */
  readonly reserved: ReadonlySet<string>;
}

/** A task to place. */
export interface PlacementRequest extends EligibilityRequest {
  readonly task: TaskRecord;
  /** The rack that the step's other tasks use, where they should share one. */
  readonly preferredRack?: string;
}

/**
 * The worker with the lowest score: tasks are packed on the fullest worker that has room, so that others
 * fall idle and can be switched off.
 */
export function chooseWorker(request: PlacementRequest): WorkerRecord | undefined {
  let best: WorkerRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const worker of request.workers) {
    if (isPossible(request, worker)) {
      const score = scoreOf(request, worker);
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
  }
  return best;
}

/**
 * The worker to keep free for a lasting task that found no room anywhere. The one that is held already stays
 * so, since a worker falls empty only while it gets no other tasks; otherwise it is the emptiest of those that
 * will have room without their short tasks.
 */
export function chooseReservation(
  request: EligibilityRequest,
  heldWorkerId: string | undefined,
): WorkerRecord | undefined {
  const room = resources.allocationOf(request.step.spec);
  const candidates = request.workers.filter((worker) =>
    isEligible(request, worker) && resources.fits(room, freeOfShortTasks(worker))
  );
  return candidates.find(({ info }) => info.workerId === heldWorkerId) ??
    candidates.sort((a, b) =>
      Number(a.isLeavingSoon) - Number(b.isLeavingSoon) ||
      b.free.cpuMillicores - a.free.cpuMillicores
    )[0];
}

function freeOfShortTasks(worker: WorkerRecord): schema.scheduling.Resources {
  return [...worker.runs.values()]
    .filter(({ step }) => step.spec.isLasting)
    .reduce((free, run) => resources.subtract(free, run.allocation), worker.info.total);
}

function isPossible(request: PlacementRequest, worker: WorkerRecord): boolean {
  return resources.fits(resources.allocationOf(request.step.spec), worker.free) &&
    isEligible(request, worker);
}

/** Whether the worker may run the step's tasks, its free room aside. */
function isEligible(request: EligibilityRequest, worker: WorkerRecord): boolean {
  const { step, nowMs, allowed, reserved } = request;
  const { requiredLabel } = step.spec;
  return worker.isSchedulable(nowMs) && !reserved.has(worker.info.workerId) &&
    (requiredLabel === undefined || worker.info.labels.includes(requiredLabel)) &&
    (allowed === undefined || allowed.has(worker.info.workerId)) &&
    hasSpreadRoom(step, worker);
}

/** Whether the worker may take one more task of the step. */
function hasSpreadRoom(step: StepRecord, worker: WorkerRecord): boolean {
  const limit = step.spec.maxTasksPerWorker;
  return limit === 0 || sameStepCount(step, worker) < limit;
}

function sameStepCount(step: StepRecord, worker: WorkerRecord): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    count += run.step === step ? 1 : 0;
  }
  return count;
}

function scoreOf({ step, task, preferredRack }: PlacementRequest, worker: WorkerRecord): number {
  const { total, labels, workerId } = worker.info;
  const rack = step.spec.dataRack ?? preferredRack;
  const freeShare = worker.free.cpuMillicores / Math.max(1, total.cpuMillicores);
  return freeShare +
    (rack !== undefined && !labels.includes(rack) ? OTHER_RACK_PENALTY : 0) +
    (task.failedOn.has(workerId) ? FAILED_HERE_PENALTY : 0) +
    worker.failureStreak * FAILURE_PENALTY +
    (worker.isLeavingSoon ? LEAVING_PENALTY : 0) +
    (step.spec.isLasting ? sameStepCount(step, worker) * SAME_STEP_PENALTY : 0);
}
