/**
 * Jobs of several steps, and the records that the scheduler keeps of them in the platform store.
 *
 * @module
 */
import * as v from "valibot";
import { countSchema, positiveIntegerSchema } from "./names.ts";

/** What a task takes of a worker, a workspace may have running, or a worker offers. */
export const resourcesSchema = v.object({
  cpuMillicores: countSchema,
  memoryMb: countSchema,
  gpuCount: countSchema,
});

/** Tasks of one kind that run side by side. */
export const stepSchema = v.object({
  taskCount: positiveIntegerSchema,
  resources: resourcesSchema,
  /** The submitter's rough estimate of a task's duration; zero where there is none. */
  estimateMs: countSchema,
  /** Earlier steps that must be done first. */
  afterSteps: v.array(countSchema),
  isCheckpointing: v.boolean(),
  /** All tasks work at the same time and end together. */
  isGang: v.boolean(),
  /** A label that the worker must carry. */
  requiredLabel: v.optional(v.string()),
  /** The rack that holds the data; tasks run slower elsewhere. */
  dataRack: v.optional(v.string()),
  /** The tasks of the step should share one rack. */
  isSameRack: v.boolean(),
  /** At most this many tasks of the step on one worker; zero means no limit. */
  maxTasksPerWorker: countSchema,
  /** Copies of a task may run side by side. */
  isSpeculative: v.boolean(),
  /** Runs until the job is cancelled, and is restarted however it ends. */
  isLasting: v.boolean(),
  /** What the tasks run; tasks of one image behave alike. */
  image: v.optional(v.string()),
  /** The bound of the response times of a task that serves users; zero for other tasks. */
  latencyObjectiveMs: countSchema,
  /** Uses only processor time that other tasks leave; its cores are not counted. */
  usesSpareCpu: v.boolean(),
  /** How many tasks of a lasting step the scheduler may have away at once; undefined for no bound. */
  maxUnavailableTasks: v.optional(countSchema),
});

/** When a job with a timetable runs. */
export const timetableSchema = v.object({
  occurrenceCount: positiveIntegerSchema,
  startUnixMs: v.number(),
  intervalMs: countSchema,
});

/** What a submitter asks for. */
export const jobSpecSchema = v.object({
  /** Passed on to the workers unread. */
  payload: v.string(),
  steps: v.pipe(v.array(stepSchema), v.minLength(1)),
  timetable: v.optional(timetableSchema),
});

/** One accepted job, as it is stored. */
export const jobSchema = v.object({
  jobId: v.string(),
  queue: v.string(),
  workspace: v.string(),
  acceptedUnixMs: v.number(),
  spec: jobSpecSchema,
});

export const jobStateSchema = v.picklist(["queued", "active", "complete", "failed", "cancelled"]);

/** What stays of a job in the place of its description once it is over and nothing of it runs. */
export const retiredJobSchema = v.object({
  finalState: jobStateSchema,
});

export const storedJobSchema = v.union([retiredJobSchema, jobSchema]);

/** What is known for good of one step of one occurrence. */
export const stepProgressSchema = v.object({
  occurrence: countSchema,
  step: countSchema,
  doneTasks: v.array(countSchema),
  /** Runs of each task that failed. */
  failedRuns: v.array(v.tuple([countSchema, v.array(positiveIntegerSchema)])),
});

/** Ends of a job's tasks, as they are stored. */
export const jobProgressSchema = v.object({
  state: jobStateSchema,
  steps: v.array(stepProgressSchema),
});

/** The process that schedules; its store revision is the fencing token. */
export const ownerRecordSchema = v.object({
  node: v.string(),
  /** Unique for each start of a process. */
  incarnation: v.string(),
  peerAddress: v.string(),
  /** Counts the changes of owner; run ids of a later term are higher. */
  term: positiveIntegerSchema,
  /** False once the owner has given the role up. */
  isHeld: v.boolean(),
});

/** What is kept of all owners so far. */
export const termRecordSchema = v.object({
  /** The number of the last term. */
  term: positiveIntegerSchema,
  /** The strength of the strongest owner, in cores. */
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

/** A queue of the configuration. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** The pool whose workers run the tasks. */
  readonly pool: string;
  /** Zero comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The latency objective is this many times the longest chain of work, and `objectiveSlackMs` more. */
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

/** A workspace: its share when all is full, and its limit over all workers. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly weight: number;
  /** A resource of zero has no limit. */
  readonly limit: Resources;
}

/** One published configuration. */
export interface SchedulingConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly workspaces: readonly Workspace[];
  readonly maxBodyBytes: number;
}

/** What a worker says of itself. */
export interface WorkerInfo {
  readonly workerId: string;
  readonly vm: string;
  readonly pool: string;
  readonly address: string;
  readonly isDraining: boolean;
  readonly total: Resources;
  readonly labels: readonly string[];
  /** Unix time of its start; another value means that it has forgotten everything. */
  readonly startedUnixMs: number;
}

/** A task that a worker has. */
export interface ReportedRun {
  readonly task: string;
  readonly runId: number;
  readonly checkpoint: string;
  /** 100 while the task is at work at full speed. */
  readonly percent: number;
  /** The tail of response times in ms where the task serves users, or millicores in use. */
  readonly load: number;
}

export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** The end of a run; ends of one worker life are numbered from 1. */
export interface ReportedEnd {
  readonly endNumber: number;
  readonly task: string;
  readonly runId: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** All that runs on a worker, and the ends that were not acknowledged. */
export interface WorkerReport {
  readonly startedUnixMs: number | undefined;
  readonly workerClockMs: number;
  readonly running: readonly ReportedRun[];
  readonly ends: readonly ReportedEnd[];
}

/** A worker's refusal of an order, or no answer. `unknown`: it may be carried out, also later. */
export type OrderOutcome =
  | { readonly kind: "done"; readonly workerClockMs: number }
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "other-life" }
  | { readonly kind: "unknown"; readonly reason: string };

export type VmState = "up" | "moving" | "upkeep" | "down";

/** A VM in the platform's list. */
export interface ListedVm {
  readonly vm: string;
  readonly pool: string;
  readonly state: VmState;
  readonly total: Resources;
  readonly labels: readonly string[];
  /** The worker that runs on it; undefined while it is off. */
  readonly workerId: string | undefined;
}

/** A request for maintenance of a set of VMs. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly vms: readonly string[];
  readonly durationMs: number;
  readonly maxConcurrent: number;
}
