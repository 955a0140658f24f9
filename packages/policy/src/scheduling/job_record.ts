/**
 * The state of one job: which of its tasks wait, run or are done, and the job's stored progress.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { CompletionSet } from "./completion_set.ts";
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
  /** When the last start order was sent; undefined before, and if a previous owner started the run. */
  startSentAtMs: number | undefined;
  /** When the last start order was answered or given up; undefined while it is under way. */
  startSettledAtMs: number | undefined;
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
  /** Whether the last speed order was refused or got no answer, so that it has to be repeated. */
  isPaceUncertain: boolean;
  pacedAtMs: number;
  /** Until when a stop by the previous owner may take effect; reports don't show pending stops. */
  mayBeStoppingUntilMs: number;
}

/**
 * The occurrences that are done are stored with all their tasks for jobs of up to so many, as earlier
 * versions read nothing else and would run the tasks again.
 */
const MAX_LISTED_TASKS = 2_000;
/** As many ready steps of a job are considered at a time, or all of its earliest occurrence. */
const MIN_READY_STEPS = 64;

export function runKey(taskName: string, runId: number): string {
  return `${taskName}#${runId}`;
}

/**
 * Whether the run may have begun on a later incarnation of its worker than the one it was ordered from.
 * Orders name a worker by its id, which a restart keeps. No later incarnation had begun at
 * `noSuccessorBeforeMs`.
 */
export function mayHaveReachedSuccessor(run: Run, noSuccessorBeforeMs: number): boolean {
  const { startSentAtMs, startSettledAtMs, reportedAtMs, delivery } = run;
  if (startSentAtMs === undefined) {
    return false;
  }
  if (startSettledAtMs === undefined) {
    return true;
  }
  const isReported = reportedAtMs !== undefined && reportedAtMs >= startSettledAtMs;
  return delivery !== "refused" && !isReported && startSettledAtMs >= noSuccessorBeforeMs;
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

/**
 * The tasks of one step of one occurrence. A task has a record only while something is known of it: that it
 * runs, has run, or is looked at. A step may have many thousands of tasks that wait or are done.
 */
export class StepRecord {
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly number: number;
  readonly spec: schema.scheduling.Step;
  readonly #tasks = new Map<number, TaskRecord>();
  readonly #done: CompletionSet;
  /** The number of tasks without a run that aren't done; a counter, as every decision reads it. */
  waitingCount: number;
  /** No task below this number waits. */
  #firstWaiting = 0;
  /** Whether a task of the step has been at work on a worker that crashed. */
  hasCrashes = false;

  constructor(job: JobRecord, { occurrence, number, isDone }: {
    readonly occurrence: number;
    readonly number: number;
    readonly isDone: boolean;
  }) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = job.job.spec.steps[number]!;
    const { taskCount } = this.spec;
    this.waitingCount = isDone ? 0 : taskCount;
    this.#done = new CompletionSet(taskCount);
    if (isDone) {
      this.#done.addRange([0, taskCount - 1]);
    }
  }

  /** The name of the step in advice requests. */
  get name(): string {
    return `${this.job.job.jobId}.${this.occurrence}.${this.number}`;
  }

  get isDone(): boolean {
    return this.#done.isComplete;
  }

  /** The numbers of the tasks that are done, in ascending order. */
  get doneTasks(): Iterable<number> {
    return this.#done;
  }

  /** The tasks of which more is known than that they wait or are done. */
  get knownTasks(): Iterable<TaskRecord> {
    return this.#tasks.values();
  }

  /** The task with a number; undefined if the step has no such task. */
  task(index: number): TaskRecord | undefined {
    let task = this.#tasks.get(index);
    if (task === undefined && index >= 0 && index < this.spec.taskCount) {
      const { job: { job: { jobId } }, occurrence, number } = this;
      task = new TaskRecord(formatTaskName({ jobId, occurrence, step: number, index }), index);
      task.isDone = this.#done.has(index);
      this.#tasks.set(index, task);
    }
    return task;
  }

  /** The tasks that are neither done nor have a run; their records are made as they are read. */
  *waitingTasks(): Generator<TaskRecord> {
    for (let index = this.#firstWaiting; index < this.spec.taskCount; index++) {
      if (!this.#done.has(index) && this.#tasks.get(index)?.run === undefined) {
        yield this.task(index)!;
      } else if (index === this.#firstWaiting) {
        this.#firstWaiting = index + 1;
      }
    }
  }

  runs(): Run[] {
    return [...this.#tasks.values()].flatMap(({ run }) => run ?? []);
  }

  /** Sets a task's run; if it has one already, that one is kept. */
  assign(task: TaskRecord, run: Run): void {
    this.waitingCount -= task.isWaiting ? 1 : 0;
    task.run ??= run;
  }

  /** Clears a task's run after its end. */
  release(task: TaskRecord): void {
    task.run = undefined;
    if (task.isWaiting) {
      this.waitingCount++;
      this.#firstWaiting = Math.min(this.#firstWaiting, task.index);
    }
    this.#forgetIfDone(task);
  }

  markDone(task: TaskRecord): void {
    if (!task.isDone) {
      this.waitingCount -= task.isWaiting ? 1 : 0;
      task.isDone = true;
      this.#done.add(task.index);
    }
    this.#forgetIfDone(task);
  }

  /** Marks the tasks with these numbers as done, as far as there are such tasks. */
  markAllDone(indexes: Iterable<number>): void {
    for (const index of indexes) {
      const task = this.task(index);
      if (task !== undefined) {
        this.markDone(task);
      }
    }
  }

  markEveryTaskDone(): void {
    this.markAllDone(numbersBelow(this.spec.taskCount));
  }

  #forgetIfDone(task: TaskRecord): void {
    if (!task.isDone) {
      return;
    }
    if (task.run === undefined) {
      this.#tasks.delete(task.index);
    }
    this.job.recordDone(this);
  }
}

/**
 * One job with all its occurrences. An occurrence has records only while it is due or something of it is
 * known, as a timetable may have many thousands of occurrences.
 */
export class JobRecord {
  readonly job: Job;
  /** The store's revision when the job was accepted. */
  readonly acceptedRevision: number;
  /** When this process first received the job. */
  readonly seenAtMs: number;
  readonly #occurrences = new Map<number, readonly StepRecord[]>();
  readonly #doneOccurrences: CompletionSet;
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
    this.#doneOccurrences = new CompletionSet(this.#occurrenceCount);
  }

  get isOver(): boolean {
    return this.state === "complete" || this.state === "failed" || this.state === "cancelled";
  }

  get #occurrenceCount(): number {
    return this.job.spec.timetable?.occurrenceCount ?? 1;
  }

  /** The steps of which something is known, in the order of their occurrences. */
  get knownSteps(): StepRecord[] {
    return [...this.#occurrences].sort(([a], [b]) => a - b).flatMap(([, steps]) => steps);
  }

  step(occurrence: number, step: number): StepRecord | undefined {
    return this.#stepsOf(occurrence)?.[step];
  }

  /** The steps of an occurrence; undefined if the job has no such occurrence. */
  #stepsOf(occurrence: number): readonly StepRecord[] | undefined {
    let steps = this.#occurrences.get(occurrence);
    if (steps === undefined && occurrence >= 0 && occurrence < this.#occurrenceCount) {
      const isDone = this.#doneOccurrences.has(occurrence);
      steps = this.job.spec.steps.map((_, number) =>
        new StepRecord(this, { occurrence, number, isDone })
      );
      this.#occurrences.set(occurrence, steps);
    }
    return steps;
  }

  /** Records that a task of a step is done; drops the step's occurrence once nothing of it is left to do. */
  recordDone({ occurrence, isDone }: StepRecord): void {
    const steps = isDone ? this.#occurrences.get(occurrence) : undefined;
    if (steps?.every((step) => step.isDone)) {
      this.#doneOccurrences.add(occurrence);
      if (steps.every((step) => step.runs().length === 0)) {
        this.#occurrences.delete(occurrence);
      }
    }
  }

  /** The earliest start of an occurrence, in Unix ms; zero for a job without a timetable. */
  dueUnixMs(occurrence: number): number {
    const timetable = this.job.spec.timetable;
    return timetable === undefined ? 0 : timetable.startUnixMs + occurrence * timetable.intervalMs;
  }

  /**
   * The steps with waiting tasks that are due and whose preceding steps are done, of the earliest
   * occurrences; the next ones follow once these have been placed.
   */
  readySteps(wallMs: number): StepRecord[] {
    const ready: StepRecord[] = [];
    if (this.isOver) {
      return ready;
    }
    const dueCount = this.#dueCount(wallMs);
    for (let occurrence = this.#doneOccurrences.firstOpen; occurrence < dueCount; occurrence++) {
      if (this.#doneOccurrences.has(occurrence)) {
        continue;
      }
      const steps = this.#stepsOf(occurrence)!;
      for (const step of steps) {
        if (step.waitingCount > 0 && step.spec.afterSteps.every((after) => steps[after]!.isDone)) {
          ready.push(step);
        }
      }
      if (ready.length >= MIN_READY_STEPS) {
        break;
      }
    }
    return ready;
  }

  /** By step, how many tasks of the occurrences that are due are neither done nor have a run. */
  unassignedTasks(
    wallMs: number,
  ): { readonly spec: schema.scheduling.Step; readonly count: number }[] {
    const counts = this.job.spec.steps.map((spec) => ({ spec, count: 0 }));
    const dueCount = this.#dueCount(wallMs);
    for (let occurrence = this.#doneOccurrences.firstOpen; occurrence < dueCount; occurrence++) {
      if (!this.#doneOccurrences.has(occurrence)) {
        const steps = this.#occurrences.get(occurrence);
        counts.forEach((each, number) =>
          each.count += steps?.[number]?.waitingCount ?? each.spec.taskCount
        );
      }
    }
    return counts;
  }

  /** How many occurrences are due. */
  #dueCount(wallMs: number): number {
    const { timetable } = this.job.spec;
    if (timetable === undefined) {
      return 1;
    }
    const { occurrenceCount, startUnixMs, intervalMs } = timetable;
    if (wallMs < startUnixMs) {
      return 0;
    }
    return intervalMs === 0
      ? occurrenceCount
      : Math.min(occurrenceCount, Math.floor((wallMs - startUnixMs) / intervalMs) + 1);
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
    return this.#doneOccurrences.isComplete;
  }

  /** Whether the job is over and has no runs, so its spec is no longer needed. */
  isRetirable(): boolean {
    return this.isOver && this.runs().length === 0;
  }

  runs(): Run[] {
    return [...this.#occurrences.values()].flatMap((steps) => steps.flatMap((step) => step.runs()));
  }

  /** The progress to store: the state, what is done, failed runs and crashes. */
  progress(): schema.scheduling.JobProgress {
    const openSteps = this.knownSteps
      .filter(({ occurrence }) => !this.#doneOccurrences.has(occurrence))
      .map((step) => ({
        occurrence: step.occurrence,
        step: step.number,
        doneTasks: [...step.doneTasks],
        failedRuns: [...step.knownTasks]
          .filter(({ failedRuns }) => failedRuns.size > 0)
          .map(({ index, failedRuns }): [number, number[]] => [index, [...failedRuns]]),
        ...crashesOf(step),
      }))
      .filter(({ doneTasks, failedRuns, crashes = [] }) =>
        doneTasks.length + failedRuns.length + crashes.length > 0
      );
    if (schema.scheduling.countTasks(this.job.spec) <= MAX_LISTED_TASKS) {
      return { state: this.state, steps: [...this.#doneSteps(), ...openSteps] };
    }
    const doneOccurrences = this.#doneOccurrences.ranges().map(([first, last]) => ({
      first,
      last,
    }));
    return { state: this.state, steps: openSteps, doneOccurrences };
  }

  /** The progress of the steps of the occurrences that are done. */
  #doneSteps(): schema.scheduling.StepProgress[] {
    return [...this.#doneOccurrences].flatMap((occurrence) =>
      this.job.spec.steps.map(({ taskCount }, step) => ({
        occurrence,
        step,
        doneTasks: [...numbersBelow(taskCount)],
        failedRuns: [],
      }))
    );
  }

  /** Captures the crashes counted so far; the returned function marks them as stored. */
  snapshotCrashes(): () => void {
    const counts = this.knownSteps.flatMap(({ knownTasks }) =>
      [...knownTasks].flatMap(({ crashes }) =>
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
    for (const { first, last } of progress.doneOccurrences ?? []) {
      this.#doneOccurrences.addRange([first, last]);
    }
    for (const { occurrence, step, doneTasks, failedRuns, crashes = [] } of progress.steps) {
      const record = this.step(occurrence, step);
      failedRuns.forEach(([index, runIds]) => {
        runIds.forEach((runId) => record?.task(index)?.failedRuns.add(runId));
      });
      crashes.forEach(({ task: index, count, aloneOn }) => {
        const task = record?.task(index);
        if (task !== undefined) {
          record!.hasCrashes = true;
          task.crashes = CrashHistory.restore(count, aloneOn);
        }
      });
      record?.markAllDone(doneTasks);
    }
  }
}

/** The numbers from 0 to `count` - 1. */
function* numbersBelow(count: number): Generator<number> {
  for (let number = 0; number < count; number++) {
    yield number;
  }
}

/** The crashes to store of a step's unfinished tasks. */
function crashesOf(step: StepRecord): Pick<schema.scheduling.StepProgress, "crashes"> {
  const crashes = [...step.knownTasks].flatMap((task) =>
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
