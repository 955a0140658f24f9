/**
 * Chooses a worker for a task: filters the eligible workers and scores them, where the lowest score
 * wins.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import type { StepRecord, TaskRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** A task takes several times as long away from its data, which outweighs bin packing. */
const OTHER_RACK_PENALTY = 100;
/** A worker on which the task has failed is used only as a last resort. */
const FAILED_ON_WORKER_PENALTY = 1_000;
/**
 * Lets a worker that is due for maintenance become idle. Long-running tasks placed there would have
 * to move again, one task of a step at a time, so the penalty outweighs having 24 tasks of a step
 * on one worker.
 */
const MAINTENANCE_PENALTY = 50;
/** Per long-running task of the same step on the worker, as they would fail together. */
const SAME_STEP_PENALTY = 2;
/** Two suspects of a crash on one worker could not be told apart. */
const SUSPECT_PENALTY = 500;
/** A second crash of the same VM tells nothing of the task. */
const CRASHED_VM_PENALTY = 200;
/** Keeps a suspect away from workers with much other work, which it might take down. */
const SHARED_WITH_SUSPECT_PENALTY = 5;
/** Per consecutive failure on the worker. */
const FAILURE_STREAK_PENALTY = 10;

/** A step and the constraints on its workers. */
export interface EligibilityRequest {
  readonly step: StepRecord;
  readonly workers: readonly WorkerRecord[];
  readonly nowMs: number;
  /** By id, the workers that the queue's policy allows; undefined if all are allowed. */
  readonly allowed?: ReadonlyMap<string, unknown>;
  /** The ids of workers reserved for long-running tasks that fit nowhere. */
  readonly reserved: ReadonlySet<string>;
}

/** A task to place. */
export interface PlacementRequest extends EligibilityRequest {
  readonly task: TaskRecord;
  /** The rack of the step's other tasks, if they should share one. */
  readonly preferredRack?: string | undefined;
  /** Whether no other job may have a run on the worker. */
  readonly isApart?: boolean;
}

/**
 * Returns the possible worker with the lowest score. Tasks are packed on the fullest worker that
 * they fit on, so that other workers become idle and can be switched off.
 */
export function chooseWorker(request: PlacementRequest): WorkerRecord | undefined {
  let best: WorkerRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const worker of request.workers) {
    if (canPlace(request, worker)) {
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
 * Returns the worker to reserve for a long-running task that fits nowhere. An existing reservation
 * is kept, since a worker empties only while it gets no other tasks; otherwise the choice is the
 * emptiest of the workers that have enough free capacity once their short tasks end.
 */
export function chooseReservation(
  request: EligibilityRequest,
  reservedWorkerId: string | undefined,
): WorkerRecord | undefined {
  const allocation = resources.allocationOf(request.step.spec);
  const candidates = request.workers.filter((worker) =>
    isEligible(request, worker) && resources.fits(allocation, freeWithoutShortTasks(worker))
  );
  return candidates.find(({ info }) => info.workerId === reservedWorkerId) ??
    candidates.sort((a, b) =>
      Number(a.isLeavingSoon) - Number(b.isLeavingSoon) ||
      b.free.cpuMillicores - a.free.cpuMillicores
    )[0];
}

function freeWithoutShortTasks(worker: WorkerRecord): schema.scheduling.Resources {
  return [...worker.runs.values()]
    .filter(({ step }) => step.spec.isLasting)
    .reduce((free, run) => resources.subtract(free, run.allocation), worker.info.total);
}

/** The workers that may run the step's tasks, regardless of their free capacity. */
export function eligibleWorkers(request: EligibilityRequest): WorkerRecord[] {
  return request.workers.filter((worker) => isEligible(request, worker));
}

/** Whether the worker has the free capacity for one more task of the step. */
export function hasRoom(step: StepRecord, worker: WorkerRecord): boolean {
  return resources.fits(resources.allocationOf(step.spec), worker.free);
}

function canPlace(request: PlacementRequest, worker: WorkerRecord): boolean {
  return hasRoom(request.step, worker) &&
    isEligible(request, worker) && (!request.isApart || worker.isFreeFor(request.step.job));
}

/** Whether the worker may run the step's tasks, regardless of its free capacity. */
function isEligible(request: EligibilityRequest, worker: WorkerRecord): boolean {
  const { step, nowMs, allowed, reserved } = request;
  const { requiredLabel } = step.spec;
  return worker.isSchedulable(nowMs) && !reserved.has(worker.info.workerId) &&
    (requiredLabel === undefined || worker.info.labels.includes(requiredLabel)) &&
    (allowed === undefined || allowed.has(worker.info.workerId)) &&
    isWithinSpreadLimit(step, worker) &&
    (!worker.isIsolated(nowMs) || worker.isFreeFor(step.job));
}

/** Whether one more task keeps the worker within the step's `maxTasksPerWorker`. */
function isWithinSpreadLimit(step: StepRecord, worker: WorkerRecord): boolean {
  const limit = step.spec.maxTasksPerWorker;
  return limit === 0 || countRunsOfStep(step, worker) < limit;
}

function countRunsOfStep(step: StepRecord, worker: WorkerRecord): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    count += run.step === step ? 1 : 0;
  }
  return count;
}

function scoreOf(request: PlacementRequest, worker: WorkerRecord): number {
  const { step, task, preferredRack } = request;
  const { total, labels, workerId } = worker.info;
  const rack = step.spec.dataRack ?? preferredRack;
  const freeShare = worker.free.cpuMillicores / Math.max(1, total.cpuMillicores);
  return freeShare +
    (rack !== undefined && !labels.includes(rack) ? OTHER_RACK_PENALTY : 0) +
    (task.failedOn.has(workerId) ? FAILED_ON_WORKER_PENALTY : 0) +
    suspicionPenalty(request, worker) +
    worker.failureStreak * FAILURE_STREAK_PENALTY +
    (worker.isLeavingSoon ? MAINTENANCE_PENALTY : 0) +
    (step.spec.isLasting ? countRunsOfStep(step, worker) * SAME_STEP_PENALTY : 0);
}

function suspicionPenalty({ step, task, nowMs }: PlacementRequest, worker: WorkerRecord): number {
  const suspectCount = worker.suspectCount(step.job, nowMs);
  if (task.crashes === undefined) {
    return suspectCount * SHARED_WITH_SUSPECT_PENALTY;
  }
  return suspectCount * SUSPECT_PENALTY + worker.runs.size * SHARED_WITH_SUSPECT_PENALTY +
    (task.crashes.vms.has(worker.info.vm) ? CRASHED_VM_PENALTY : 0);
}
