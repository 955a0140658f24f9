/**
 * Jobs with several steps, the records that the scheduler keeps in the platform store, and the
 * parsed documents and reports of the platform.
 *
 * @module
 */
import * as v from "valibot";
import { countSchema, positiveIntegerSchema } from "./names.ts";

/** Sums of larger amounts may be infinite, and their differences no numbers. */
const amountSchema = v.pipe(countSchema, v.safeInteger());

/**
 * Amounts of resources: the demand of a task, the limit of a workspace, or the capacity of a
 * worker.
 */
export const resourcesSchema = v.object({
  cpuMillicores: amountSchema,
  memoryMb: amountSchema,
  gpuCount: amountSchema,
});

/** A step of a job: tasks with the same requirements that may run in parallel. */
export const stepSchema = v.object({
  taskCount: positiveIntegerSchema,
  resources: resourcesSchema,
  /** The submitter's rough estimate of a task's duration; zero if unknown. */
  estimateMs: amountSchema,
  /** Indexes of earlier steps that must complete first. */
  afterSteps: v.array(countSchema),
  isCheckpointing: v.boolean(),
  /** Gang scheduling: all tasks run at the same time and end together. */
  isGang: v.boolean(),
  /** A label that the worker must have. */
  requiredLabel: v.optional(v.string()),
  /** The rack that holds the input data; tasks run slower on other racks. */
  dataRack: v.optional(v.string()),
  /** Whether the tasks of the step should run on the same rack. */
  isSameRack: v.boolean(),
  /** The maximum number of tasks of the step on one worker; zero means no limit. */
  maxTasksPerWorker: countSchema,
  /** Speculative execution: several copies of a task may run at the same time. */
  isSpeculative: v.boolean(),
  /** Long-running: tasks run until the job is cancelled, and are restarted whenever they end. */
  isLasting: v.boolean(),
  /** The image that the tasks run; tasks of the same image are expected to behave alike. */
  image: v.optional(v.string()),
  /** The latency objective of tasks that serve users, in milliseconds; zero for other tasks. */
  latencyObjectiveMs: countSchema,
  /** Runs only on CPU time that other tasks leave idle; its cores do not count as used. */
  usesSpareCpu: v.boolean(),
  /**
   * How many tasks of a long-running step the scheduler may interrupt at once; undefined if unset.
   */
  maxUnavailableTasks: v.optional(countSchema),
});

/** The schedule of a recurring job. */
export const timetableSchema = v.object({
  occurrenceCount: positiveIntegerSchema,
  startUnixMs: v.pipe(v.number(), v.finite()),
  intervalMs: amountSchema,
});

/**
 * The most tasks of a job over all occurrences. Their progress has to fit into one item of the store.
 */
export const MAX_TASKS_PER_JOB = 100_000;

/** A job as submitted. */
export const jobSpecSchema = v.pipe(
  v.object({
    /** Opaque; passed to the workers unchanged. */
    payload: v.string(),
    steps: v.pipe(v.array(stepSchema), v.minLength(1)),
    timetable: v.optional(timetableSchema),
  }),
  v.check(
    ({ steps }) => steps.every(({ afterSteps }, step) => afterSteps.every((after) => after < step)),
    "A step must come after the steps it names",
  ),
  v.check((spec) => countTasks(spec) <= MAX_TASKS_PER_JOB, "The job has too many tasks"),
);

/** An accepted job as stored. */
export const jobSchema = v.object({
  jobId: v.string(),
  queue: v.string(),
  workspace: v.string(),
  acceptedUnixMs: v.number(),
  spec: jobSpecSchema,
});

export const jobStateSchema = v.picklist(["queued", "active", "complete", "failed", "cancelled"]);

/** Replaces the stored job once the job has ended and none of its tasks run. */
export const retiredJobSchema = v.object({
  finalState: jobStateSchema,
});

export const storedJobSchema = v.union([retiredJobSchema, jobSchema]);

/** How often workers crashed on which a task was at work. */
export const taskCrashesSchema = v.object({
  task: countSchema,
  count: positiveIntegerSchema,
  /** The VMs, one for each crash, on which no other job was at work. */
  aloneOn: v.array(v.string()),
});

/** The durable progress of one step in one occurrence of the job. */
export const stepProgressSchema = v.object({
  occurrence: countSchema,
  step: countSchema,
  doneTasks: v.array(countSchema),
  /** The ids of failed runs, by task. */
  failedRuns: v.array(v.tuple([countSchema, v.array(positiveIntegerSchema)])),
  /** The tasks that were at work on workers that crashed; earlier versions do not store it. */
  crashes: v.optional(v.array(taskCrashesSchema)),
});

/** The progress of a job as stored. */
export const jobProgressSchema = v.object({
  state: jobStateSchema,
  /** The steps of the other occurrences, as far as there is progress. */
  steps: v.array(stepProgressSchema),
  /** The occurrences that are done; earlier versions list the steps of these too. */
  doneOccurrences: v.optional(v.array(v.object({ first: countSchema, last: countSchema }))),
});

/** The elected leader that schedules; the store revision of the record is its fencing token. */
export const ownerRecordSchema = v.object({
  node: v.string(),
  /** Unique for each process start. */
  incarnation: v.string(),
  peerAddress: v.string(),
  /** The epoch: incremented with each change of owner. Run ids of a later term are higher. */
  term: positiveIntegerSchema,
  /** False once the owner has resigned. */
  isHeld: v.boolean(),
});

/** State that is kept across changes of owner. */
export const termRecordSchema = v.object({
  /** The number of the last term. */
  term: positiveIntegerSchema,
  /** The highest strength of any owner so far, in cores. */
  strongestOwner: v.number(),
});

export type Resources = v.InferOutput<typeof resourcesSchema>;
export type Step = v.InferOutput<typeof stepSchema>;
export type JobSpec = v.InferOutput<typeof jobSpecSchema>;
export type Job = v.InferOutput<typeof jobSchema>;
export type RetiredJob = v.InferOutput<typeof retiredJobSchema>;
export type JobState = v.InferOutput<typeof jobStateSchema>;
export type StepProgress = v.InferOutput<typeof stepProgressSchema>;
export type JobProgress = v.InferOutput<typeof jobProgressSchema>;
export type OwnerRecord = v.InferOutput<typeof ownerRecordSchema>;
export type TermRecord = v.InferOutput<typeof termRecordSchema>;

/** A queue in the platform's configuration. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** The pool whose workers run the tasks. */
  readonly pool: string;
  /** Zero is the highest priority. */
  readonly priority: number;
  readonly maxAttempts: number;
  /**
   * The latency objective of a job is its critical path times this factor plus `objectiveSlackMs`.
   */
  readonly objectiveStretch: number;
  readonly objectiveSlackMs: number;
  readonly isPublic: boolean;
  readonly advice?: {
    readonly decideMs: number;
    readonly eachMs: number;
    readonly validMs: number;
  };
}

/** A pool of VMs; the VMs of a standby pool are switched off. */
export interface Pool {
  readonly name: string;
  readonly isStandby: boolean;
}

/** A workspace with its fair-share weight and its resource limit across all workers. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly weight: number;
  /** Zero means no limit for that resource. */
  readonly limit: Resources;
}

/** A published configuration. */
export interface SchedulingConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly workspaces: readonly Workspace[];
  readonly maxBodyBytes: number;
}

/** A worker's registration. */
export interface WorkerInfo {
  readonly workerId: string;
  readonly vm: string;
  readonly pool: string;
  readonly address: string;
  readonly isDraining: boolean;
  readonly total: Resources;
  readonly labels: readonly string[];
  /**
   * Unix time of the worker's start; a different value means that it has restarted without state.
   */
  readonly startedUnixMs: number;
}

/** A run that a worker reports. */
export interface ReportedRun {
  readonly task: string;
  readonly runId: number;
  readonly checkpoint: string;
  /** The current speed of the task in percent; 100 is full speed. */
  readonly percent: number;
  /** The tail latency in milliseconds if the task serves users, otherwise the millicores in use. */
  readonly load: number;
}

export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** The end of a run. Ends are numbered from 1 after each start of the worker. */
export interface ReportedEnd {
  readonly endNumber: number;
  readonly task: string;
  readonly runId: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** All runs on a worker, and the first of the ends that have not been acknowledged. */
export interface WorkerReport {
  readonly startedUnixMs: number | undefined;
  readonly workerClockMs: number;
  readonly running: readonly ReportedRun[];
  readonly ends: readonly ReportedEnd[];
  /** Whether further ends may follow, which the worker lists once these are acknowledged. */
  readonly hasMoreEnds: boolean;
}

/**
 * The outcome of an order to a worker. `unknown`: the order may have been or may yet be executed.
 */
export type OrderOutcome =
  | { readonly kind: "done"; readonly workerClockMs: number }
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "other-life" }
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /** False if the worker cannot have received any byte of the order. */
    readonly isSent?: boolean;
  };

export type VmState = "up" | "moving" | "upkeep" | "down";

/** A VM as listed by the platform. */
export interface ListedVm {
  readonly vm: string;
  readonly pool: string;
  readonly state: VmState;
  readonly total: Resources;
  readonly labels: readonly string[];
  /** The worker on the VM; undefined while the VM is off. */
  readonly workerId: string | undefined;
}

/** A request for maintenance of a set of VMs, `maxConcurrent` at a time. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly vms: readonly string[];
  readonly durationMs: number;
  readonly maxConcurrent: number;
}

/** The number of a job's tasks over all occurrences. */
export function countTasks({ steps, timetable }: {
  readonly steps: readonly { readonly taskCount: number }[];
  readonly timetable?: { readonly occurrenceCount: number } | undefined;
}): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0) *
    (timetable?.occurrenceCount ?? 1);
}
