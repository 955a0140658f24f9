/**
 * One job: which of its tasks wait, run or are done, and what follows for the job.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { formatTaskName } from "./task_names.ts";

type Job = schema.scheduling.Job;
type JobState = schema.scheduling.JobState;

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
  readonly allocation: schema.scheduling.Resources;
  state: RunState;
  /** When the worker confirmed the start; undefined before. */
  confirmedAtMs: number | undefined;
  /** A report that was asked for after this time tells for sure whether the run exists. */
  verifyAfterMs: number | undefined;
  percent: number;
  /** Tail of response times in ms, or millicores in use. */
  load: number;
  /** The share of its speed at which the run was last told to work. */
  pacePercent: number;
  pacedAtMs: number;
  /** An earlier owner may have ordered a stop, which reports do not show before it has ended the run. */
  mayBeStoppingUntilMs: number;
}

export function runKey(taskName: string, runId: number): string {
  return `${taskName}#${runId}`;
}

/** One task of one occurrence. */
export class TaskRecord {
  readonly name: string;
  readonly index: number;
  isDone = false;
  run: Run | undefined;
  /** Runs that failed, through the task's own fault or its worker's. */
  readonly failedRuns = new Set<number>();
  checkpoint = "";
  lastRunId = 0;
  /** Workers on which the task failed; others are tried first. */
  readonly failedOn = new Set<string>();

  constructor(name: string, index: number) {
    this.name = name;
    this.index = index;
  }

  get isWaiting(): boolean {
    return !this.isDone && this.run === undefined;
  }
}

/** The tasks of one step of one occurrence. */
export class StepRecord {
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly number: number;
  readonly spec: schema.scheduling.Step;
  readonly tasks: readonly TaskRecord[];
  doneCount = 0;
  /** The tasks that are neither done nor have a run; counted, since each decision asks for it. */
  waitingCount: number;

  constructor(job: JobRecord, occurrence: number, number: number) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = job.job.spec.steps[number]!;
    this.waitingCount = this.spec.taskCount;
    this.tasks = Array.from({ length: this.spec.taskCount }, (_, index) =>
      new TaskRecord(
        formatTaskName({ jobId: job.job.jobId, occurrence, step: number, index }),
        index,
      ));
  }

  /** The name of the step, as advice is asked for it. */
  get name(): string {
    return `${this.job.job.jobId}.${this.occurrence}.${this.number}`;
  }

  get isDone(): boolean {
    return this.doneCount === this.spec.taskCount;
  }

  /** The tasks that could be started now. */
  waitingTasks(): TaskRecord[] {
    return this.tasks.filter((task) => task.isWaiting);
  }

  /** Gives a task its run; another run that it has already stays the one that counts. */
  assign(task: TaskRecord, run: Run): void {
    this.waitingCount -= task.isWaiting ? 1 : 0;
    task.run ??= run;
  }

  /** The task's run is over. */
  release(task: TaskRecord): void {
    task.run = undefined;
    this.waitingCount += task.isWaiting ? 1 : 0;
  }

  markDone(task: TaskRecord): void {
    if (!task.isDone) {
      this.waitingCount -= task.isWaiting ? 1 : 0;
      task.isDone = true;
      this.doneCount++;
    }
  }
}

/** One job with all its occurrences. */
export class JobRecord {
  readonly job: Job;
  /** The store's revision when the job was accepted. */
  readonly acceptedRevision: number;
  /** When this process heard of the job. */
  readonly seenAtMs: number;
  readonly #occurrences: (readonly StepRecord[])[] = [];
  state: JobState = "queued";
  readonly #chainsMs: readonly number[];
  readonly #longestChainMs: number;
  /** The state that is stored and may be told. */
  storedState: JobState = "queued";

  /** Its workspace sent more than its share when the job came. */
  readonly isOverRate: boolean;

  constructor(job: Job, { acceptedRevision, seenAtMs, isOverRate = false }: {
    readonly acceptedRevision: number;
    readonly seenAtMs: number;
    readonly isOverRate?: boolean;
  }) {
    this.job = job;
    this.isOverRate = isOverRate;
    this.acceptedRevision = acceptedRevision;
    this.seenAtMs = seenAtMs;
    this.#chainsMs = chainsMs(job.spec.steps);
    this.#longestChainMs = Math.max(...this.#chainsMs);
    const count = job.spec.timetable?.occurrenceCount ?? 1;
    for (let occurrence = 0; occurrence < count; occurrence++) {
      this.#occurrences.push(
        job.spec.steps.map((_, step) => new StepRecord(this, occurrence, step)),
      );
    }
  }

  get isOver(): boolean {
    return this.state === "complete" || this.state === "failed" || this.state === "cancelled";
  }

  get occurrences(): readonly (readonly StepRecord[])[] {
    return this.#occurrences;
  }

  step(occurrence: number, step: number): StepRecord | undefined {
    return this.#occurrences[occurrence]?.[step];
  }

  /** When an occurrence may start, in Unix ms; zero for a job without a timetable. */
  dueUnixMs(occurrence: number): number {
    const timetable = this.job.spec.timetable;
    return timetable === undefined ? 0 : timetable.startUnixMs + occurrence * timetable.intervalMs;
  }

  /** The steps whose turn has come and that have waiting tasks. */
  readySteps(wallMs: number): StepRecord[] {
    const ready: StepRecord[] = [];
    if (this.isOver) {
      return ready;
    }
    for (const steps of this.#occurrences) {
      for (const step of steps) {
        const isReady = step.waitingCount > 0 && this.dueUnixMs(step.occurrence) <= wallMs &&
          step.spec.afterSteps.every((after) => steps[after]!.isDone);
        if (isReady) {
          ready.push(step);
        }
      }
    }
    return ready;
  }

  /** The longest chain of estimated durations from a step on. */
  criticalPathFromMs(step: number): number {
    return this.#chainsMs[step]!;
  }

  /** The longest chain of estimated durations through one occurrence. */
  criticalPathMs(): number {
    return this.#longestChainMs;
  }

  /** Whether all tasks are done; a job with lasting tasks never is. */
  isAllDone(): boolean {
    return this.#occurrences.every((steps) => steps.every((step) => step.isDone));
  }

  /** Whether the job is over and nothing of it runs, so that its description is of no use any more. */
  isRetirable(): boolean {
    return this.isOver && this.runs().length === 0;
  }

  runs(): Run[] {
    return this.#occurrences.flat().flatMap((step) => step.tasks.flatMap((task) => task.run ?? []));
  }

  /** What is known for good, to be stored. */
  progress(): schema.scheduling.JobProgress {
    const steps = this.#occurrences.flat()
      .map((step) => ({
        occurrence: step.occurrence,
        step: step.number,
        doneTasks: step.tasks.filter(({ isDone }) => isDone).map(({ index }) => index),
        failedRuns: step.tasks
          .filter(({ failedRuns }) => failedRuns.size > 0)
          .map(({ index, failedRuns }): [number, number[]] => [index, [...failedRuns]]),
      }))
      .filter(({ doneTasks, failedRuns }) => doneTasks.length + failedRuns.length > 0);
    return { state: this.state, steps };
  }

  /** What is stored of a job that is not to be continued. */
  finalProgress(): schema.scheduling.JobProgress {
    return { state: this.state, steps: [] };
  }

  /** Takes over what an earlier owner stored. */
  restore(progress: schema.scheduling.JobProgress): void {
    this.state = progress.state;
    this.storedState = progress.state;
    for (const { occurrence, step, doneTasks, failedRuns } of progress.steps) {
      const record = this.step(occurrence, step);
      doneTasks.forEach((index) => {
        const task = record?.tasks[index];
        if (task !== undefined) {
          record!.markDone(task);
        }
      });
      failedRuns.forEach(([index, runIds]) => {
        runIds.forEach((runId) => record?.tasks[index]?.failedRuns.add(runId));
      });
    }
  }
}

/** For each step, the longest chain of estimates from its start to the end of the job. */
function chainsMs(steps: readonly schema.scheduling.Step[]): number[] {
  const chains = steps.map(({ estimateMs }) => estimateMs);
  // Steps only follow earlier ones, so that each step's followers are settled before it.
  for (let step = steps.length - 1; step >= 0; step--) {
    const followers = steps.flatMap(({ afterSteps }, other) =>
      afterSteps.includes(step) ? [chains[other]!] : []
    );
    chains[step]! += Math.max(0, ...followers);
  }
  return chains;
}
