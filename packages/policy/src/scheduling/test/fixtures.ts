/**
 * Fixtures of jobs, workers and VMs for the tests of this folder.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type { Run, StepRecord } from "../job_record.ts";
import { type DecisionLog, Scheduler } from "../scheduler.ts";
import type { VmView } from "../vm_view.ts";
import { WorkerRecord } from "../worker_record.ts";

export const TOTAL: schema.scheduling.Resources = {
  cpuMillicores: 16_000,
  memoryMb: 32_000,
  gpuCount: 0,
};

export const SILENT: DecisionLog = { debug() {}, info() {} };

export function job(
  jobId: string,
  steps: readonly schema.scheduling.Step[],
  given: Partial<schema.scheduling.Job> = {},
): schema.scheduling.Job {
  return {
    jobId,
    queue: "quick",
    workspace: "acme",
    acceptedUnixMs: 0,
    spec: { payload: "p", steps: [...steps] },
    ...given,
  };
}

export function workerInfo(
  workerId: string,
  given: Partial<schema.scheduling.WorkerInfo> = {},
): schema.scheduling.WorkerInfo {
  return {
    workerId,
    vm: `vm-${workerId}`,
    pool: "pool",
    address: workerId,
    isDraining: false,
    total: TOTAL,
    labels: [],
    startedUnixMs: 1,
    ...given,
  };
}

/** A worker that has reported and can be given tasks. */
export function openWorker(
  workerId: string,
  given: Partial<schema.scheduling.WorkerInfo> = {},
): WorkerRecord {
  const worker = new WorkerRecord(workerInfo(workerId, given), 0);
  worker.hasReported = true;
  return worker;
}

export function vmView(vm: string, given: Partial<VmView> = {}): VmView {
  return {
    vm,
    pool: "pool",
    state: "up",
    isStandby: false,
    total: TOTAL,
    worker: openWorker(`worker-${vm}`),
    isUncertain: false,
    ...given,
  };
}

/** The confirmed run of a step's first task on a worker, which it is not added to. */
export function run(step: StepRecord, worker: WorkerRecord, given: Partial<Run> = {}): Run {
  return {
    step,
    task: step.task(0)!,
    runId: 1,
    workerId: worker.info.workerId,
    orderedAtMs: 0,
    isTakenOver: false,
    allocation: step.spec.resources,
    state: "running",
    delivery: "sent",
    suspectUntilMs: 0,
    isolatedUntilMs: 0,
    startSentAtMs: 0,
    startSettledAtMs: 1,
    confirmedAtMs: 1,
    reportedAtMs: undefined,
    verifyAfterMs: undefined,
    percent: 100,
    load: 0,
    pacePercent: 100,
    isPaceUncertain: false,
    pacedAtMs: 0,
    mayBeStoppingUntilMs: 0,
    ...given,
  };
}

export function emptyReport(
  given: Partial<schema.scheduling.WorkerReport> = {},
): schema.scheduling.WorkerReport {
  const report = { startedUnixMs: 1, workerClockMs: 1_000, running: [], ends: [] };
  return { ...report, hasMoreEnds: false, ...given };
}

/** A scheduler at the start of its term, before any worker has reported a previous owner's runs. */
export function unsettledScheduler(term = 1): Scheduler {
  return new Scheduler({
    term,
    takeover: { revision: 1, atMs: 0, staleOwnerMs: 1_600 },
    log: SILENT,
  });
}

/** A configuration of one queue and one pool. */
export function config(
  given: Partial<schema.scheduling.SchedulingConfig> = {},
): schema.scheduling.SchedulingConfig {
  return {
    version: 1,
    queues: [testing.schedulingFixtures.queue("quick")],
    pools: [{ name: "pool", isStandby: false }],
    workspaces: [],
    maxBodyBytes: 1_000,
    ...given,
  };
}

/** A settled scheduler with schedulable workers. */
export function scheduler(
  workerIds: readonly string[],
  { term, ...given }: Partial<schema.scheduling.SchedulingConfig> & { term?: number } = {},
): Scheduler {
  const made = unsettledScheduler(term);
  made.setConfig(config(given));
  made.settle(0, "test");
  for (const workerId of workerIds) {
    const worker = made.putWorker(workerInfo(workerId), 0)!;
    made.applyReport(worker, emptyReport(), { sentAtMs: 0, receivedAtMs: 1 });
  }
  return made;
}
