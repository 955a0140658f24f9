/**
 * The state of one job: which of its tasks wait, run or are done, and the job's stored progress.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { CrashHistory } from "./crash_history.ts";
import { formatTaskName } from "./task_names.ts";

type Job = schema.scheduling.Job;
type JobState = schema.scheduling.JobState;

/**
 * `starting`: the start is ordered and unconfirmed, so the run may exist already or later.
 * `stopping`: a stop is ordered. In all three states the run uses its worker's resources and counts
 * against the workspace's limit.
 */
export type RunState = "starting" | "running" | "stopping";

/** One attempt of a task, from the start order until its end is known. */
export interface Run {
  readonly step: StepRecord;
  readonly task: TaskRecord;
  readonly runId: number;
  readonly workerId: string;
  readonly orderedAtMs: number;
  /** Whether a previous owner started the run, at a time that is not known. */
  isTakenOver: boolean;
  /** The resources that the run takes on its worker. */
  readonly allocation: schema.scheduling.Resources;
  state: RunState;
  /** `refused`: the worker's address refused the connection, so that the run never began. */
  delivery: "pending" | "sent" | "refused";
  /** Until when the task may still crash its worker; zero if it is not suspected of it. */
  readonly suspectUntilMs: number;
  /** Until when tasks of other jobs must not start on the worker. */
  readonly isolatedUntilMs: number;
  /** When the worker confirmed the start; undefined before. */
  confirmedAtMs: number | undefined;
  /** When a report last showed the run at work; undefined before. */
  reportedAtMs: number | undefined;
  /** A report that was requested after this time shows reliably whether the run exists. */
  verifyAfterMs: number | undefined;
  percent: number;
  /** The tail latency in ms for tasks that serve users, the used millicores for others. */
  load: number;
  /** The last ordered speed, in percent of full speed. */
  pacePercent: number;
  pacedAtMs: number;
  /** Until when a stop by the previous owner may take effect; reports don't show pending stops. */
  mayBeStoppingUntilMs: number;
}

export function runKey(taskName: string, runId: number): string {
  return `${taskName}#${runId}`;
}

/** One task of one occurrence of a job's timetable. */
export class TaskRecord {
  readonly name: string;
  readonly index: number;
  isDone = false;
  run: Run | undefined;
  /** The ids of failed runs, whether the task or its worker was at fault. */
  readonly failedRuns = new Set<number>();
  checkpoint = "";
  lastRunId = 0;
  /** The ids of workers on which the task failed; other workers are preferred. */
  readonly failedOn = new Set<string>();
  /** The crashes of workers on which the task was at work; undefined if there were none. */
  crashes: CrashHistory | undefined;

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
  /** The number of tasks without a run that aren't done; a counter, as every decision reads it. */
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

  /** The name of the step in advice requests. */
  get name(): string {
    return `${this.job.job.jobId}.${this.occurrence}.${this.number}`;
  }

  /** Whether a task of the step has been at work on a worker that crashed. */
  hasCrashes = false;

  get isDone(): boolean {
    return this.doneCount === this.spec.taskCount;
  }

  /** The tasks that are neither done nor have a run. */
  waitingTasks(): TaskRecord[] {
    return this.tasks.filter((task) => task.isWaiting);
  }

  /** Sets a task's run; if it has one already, that one is kept. */
  assign(task: TaskRecord, run: Run): void {
    this.waitingCount -= task.isWaiting ? 1 : 0;
    task.run ??= run;
  }

  /** Clears a task's run after its end. */
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
  /** When this process first received the job. */
  readonly seenAtMs: number;
  readonly #occurrences: (readonly StepRecord[])[] = [];
  state: JobState = "queued";
  readonly #criticalPathsMs: readonly number[];
  readonly #criticalPathMs: number;
  /** The last stored state; only this one may be reported to callers. */
  storedState: JobState = "queued";

  /** Whether the workspace exceeded its job rate when the job arrived. */
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
    this.#criticalPathsMs = computeCriticalPathsMs(job.spec.steps);
    this.#criticalPathMs = this.#criticalPathsMs.reduce((a, b) => Math.max(a, b), 0);
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

  /** The earliest start of an occurrence, in Unix ms; zero for a job without a timetable. */
  dueUnixMs(occurrence: number): number {
    const timetable = this.job.spec.timetable;
    return timetable === undefined ? 0 : timetable.startUnixMs + occurrence * timetable.intervalMs;
  }

  /** The steps with waiting tasks that are due and whose preceding steps are done. */
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

  /** The estimated critical path from a step's start to the end of its occurrence. */
  criticalPathFromMs(step: number): number {
    return this.#criticalPathsMs[step]!;
  }

  /** The estimated critical path of one occurrence. */
  criticalPathMs(): number {
    return this.#criticalPathMs;
  }

  /** Whether all tasks are done; never true for a job with long-running tasks. */
  isAllDone(): boolean {
    return this.#occurrences.every((steps) => steps.every((step) => step.isDone));
  }

  /** Whether the job is over and has no runs, so its spec is no longer needed. */
  isRetirable(): boolean {
    return this.isOver && this.runs().length === 0;
  }

  runs(): Run[] {
    return this.#occurrences.flat().flatMap((step) => step.tasks.flatMap((task) => task.run ?? []));
  }

  /** The progress to store: the state, finished tasks and failed runs. */
  progress(): schema.scheduling.JobProgress {
    const steps = this.#occurrences.flat()
      .map((step) => ({
        occurrence: step.occurrence,
        step: step.number,
        doneTasks: step.tasks.filter(({ isDone }) => isDone).map(({ index }) => index),
        failedRuns: step.tasks
          .filter(({ failedRuns }) => failedRuns.size > 0)
          .map(({ index, failedRuns }): [number, number[]] => [index, [...failedRuns]]),
        ...crashesOf(step),
      }))
      .filter(({ doneTasks, failedRuns, crashes = [] }) =>
        doneTasks.length + failedRuns.length + crashes.length > 0
      );
    return { state: this.state, steps };
  }

  /** Captures the crashes counted so far; the returned function marks them as stored. */
  snapshotCrashes(): () => void {
    const counts = this.#occurrences.flat().flatMap(({ tasks }) =>
      tasks.flatMap(({ crashes }) =>
        crashes?.hasUnstored ? [{ crashes, count: crashes.count }] : []
      )
    );
    return () => counts.forEach(({ crashes, count }) => crashes.storedCount = count);
  }

  /** The progress to store for a finished job, which never resumes. */
  finalProgress(): schema.scheduling.JobProgress {
    return { state: this.state, steps: [] };
  }

  /** Restores the progress that a previous owner stored. */
  restore(progress: schema.scheduling.JobProgress): void {
    this.state = progress.state;
    this.storedState = progress.state;
    for (const { occurrence, step, doneTasks, failedRuns, crashes = [] } of progress.steps) {
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
      crashes.forEach(({ task: index, count, aloneOn }) => {
        const task = record?.tasks[index];
        if (task !== undefined) {
          record!.hasCrashes = true;
          task.crashes = CrashHistory.restore(count, aloneOn);
        }
      });
    }
  }
}

/** The crashes to store of a step's unfinished tasks. */
function crashesOf(step: StepRecord): Pick<schema.scheduling.StepProgress, "crashes"> {
  const crashes = step.tasks.flatMap((task) =>
    task.crashes === undefined || task.isDone
      ? []
      : [{ task: task.index, count: task.crashes.count, aloneOn: [...task.crashes.aloneOn] }]
  );
  return crashes.length === 0 ? {} : { crashes };
}

/** For each step, the longest path of estimated durations from its start to the end of the job. */
function computeCriticalPathsMs(steps: readonly schema.scheduling.Step[]): number[] {
  const pathsMs = steps.map(() => 0);
  // A step depends only on steps with lower numbers, so this order visits its dependents first.
  for (let step = steps.length - 1; step >= 0; step--) {
    const { estimateMs, afterSteps } = steps[step]!;
    // Until here, the entry is the longest path from any dependent.
    const pathMs = pathsMs[step]! + estimateMs;
    pathsMs[step] = pathMs;
    for (const before of afterSteps) {
      pathsMs[before] = Math.max(pathsMs[before]!, pathMs);
    }
  }
  return pathsMs;
}
