/**
 * Finds tasks that crash the workers that start them. When a worker crashes, every task at work there is
 * a suspect. Suspects start again apart from other jobs; a task is convicted, and its job given up, after
 * crashes of several VMs on which nothing but its own job was at work. A VM that crashes by itself, or with
 * others of its rack, convicts nobody. It answers a load in which one task would otherwise take down a
 * worker with all its tasks at each start.
 *
 * @module
 */
import { CrashHistory } from "./crash_history.ts";
import type { JobRecord, Run, StepRecord, TaskRecord } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** Tasks crash their worker within milliseconds of their start, so those started last are likelier. */
const RECENT_START_MS = 150;
/** How long after its start a task may be at work until it is unlikely to crash its worker. */
const CLEAR_AFTER_MS = 1_000;
/** The same for a long-running task: from then on it is no suspect, as VMs crash under it in the end. */
const CLEAR_LONG_RUNNING_AFTER_MS = 2_000;
/** How long a task waits for a VM of its own after its second crash, which may have had other causes. */
const MAX_ISOLATION_WAIT_MS = 2_000;
/** Crashes that are noticed within this time of each other may have one cause. */
const SAME_CAUSE_MS = 400;
/** A list of VMs that is this much younger than a crash shows the other VMs that crashed with it. */
const VERDICT_LIST_DELAY_MS = 100;
const MAX_VERDICT_DELAY_MS = 1_500;
/** How long a crash without a suspect counts as a sign that VMs crash by themselves. */
const SPONTANEOUS_CRASH_MEMORY_MS = 30_000;

const MIN_CRASHES = 3;
/** Crashes of different VMs on which the task's job was alone. */
const MIN_LONE_CRASHES = 2;
const MIN_LONE_CRASHES_WHEN_VMS_FAIL = 3;
/** From this many crashes on, a task starts only on a VM of its own, and its crashes are stored first. */
const STRICT_CRASHES = 3;
const MAX_CRASHES = 5;
/** Enough lone crashes if the pool has no second VM for the task. */
const MAX_LONE_CRASHES = 4;
/** Unstored crashes with which a task still starts, so that an outage of the store holds up few tasks. */
const MAX_UNSTORED_CRASHES = 1;

/** `preferred`: on a VM of its own if one is free; `required`: only there. */
export type Isolation = "none" | "preferred" | "required";

/** A crash whose cause is decided once other crashes of the same time are known. */
interface OpenVerdict {
  readonly crash: WorkerCrash;
  readonly run: Run;
}

/** One crash of a worker. */
interface WorkerCrash {
  readonly vm: string;
  readonly rack: string | undefined;
  readonly atMs: number;
  readonly suspects: readonly Run[];
  /** Whether all suspects belong to one job, which has been at work in an earlier crash. */
  readonly isExpected: boolean;
}

/** What became of a suspect after a crash on a VM without other jobs. */
export interface Verdict {
  readonly job: JobRecord;
  readonly task: TaskRecord;
  readonly crashes: CrashHistory;
  /** Whether the task is given up. */
  readonly isConvicted: boolean;
}

/** How a task's next start has to be kept apart from other jobs. */
export function isolationOf(task: TaskRecord, nowMs: number): Isolation {
  const { crashes } = task;
  if (crashes === undefined || crashes.count === 0) {
    return "none";
  }
  if (crashes.count === 1) {
    return crashes.isLikely ? "preferred" : "none";
  }
  const hasWaitedLong = nowMs - crashes.lastCrashAtMs > MAX_ISOLATION_WAIT_MS;
  return crashes.count < STRICT_CRASHES && !crashes.isRestored && hasWaitedLong
    ? "preferred"
    : "required";
}

/** Whether a task must not start yet: its last crash is not explained or not stored. */
export function isHeld({ crashes }: TaskRecord): boolean {
  if (crashes === undefined) {
    return false;
  }
  const unstored = crashes.count - crashes.storedCount;
  return crashes.isAwaitingVerdict || unstored > MAX_UNSTORED_CRASHES ||
    (crashes.count >= STRICT_CRASHES && unstored > 0);
}

/** Until when a run that starts now is a suspect; other suspects are kept away from it. */
export function suspectUntilMs(step: StepRecord, task: TaskRecord, nowMs: number): number {
  const count = task.crashes?.count ?? 0;
  if (count === 0) {
    return 0;
  }
  if (count === 1) {
    return nowMs + CLEAR_AFTER_MS;
  }
  return step.spec.isLasting ? nowMs + CLEAR_LONG_RUNNING_AFTER_MS : Number.POSITIVE_INFINITY;
}

/** Whether a crash of the worker now would be unplanned: nobody has ordered or announced its end. */
export function canHaveCrashed(worker: WorkerRecord): boolean {
  return worker.cordon === undefined && !worker.info.isDraining;
}

/** Records crashes of workers and decides which tasks have caused them. */
export class CrashSuspicion {
  #crashes: WorkerCrash[] = [];
  #openVerdicts: OpenVerdict[] = [];
  /** When the last list was requested; the workers that are known were up on it. */
  #listAskedAtMs = Number.NEGATIVE_INFINITY;

  /** Records a list of VMs, whose crashes have been recorded already. */
  recordVmList(askedAtMs: number): void {
    this.#listAskedAtMs = Math.max(this.#listAskedAtMs, askedAtMs);
  }

  /** Records the crash of a worker; returns the runs that may have caused it. */
  recordCrash(worker: WorkerRecord, nowMs: number): readonly Run[] {
    const { vm, labels } = worker.info;
    const present = [...worker.runs.values()].filter(({ delivery }) => delivery !== "refused");
    const isAlone = new Set(present.map(({ step }) => step.job)).size === 1;
    const cleared = new Set(present.filter((run) => isCleared(run, this.#listAskedAtMs)));
    cleared.forEach(({ task }) => task.crashes = undefined);
    const suspects = present.filter((run) => !cleared.has(run));
    const crash: WorkerCrash = {
      vm,
      rack: labels.at(-1),
      atMs: nowMs,
      suspects,
      isExpected: isAlone && suspects.some(({ task }) => (task.crashes?.count ?? 0) > 0),
    };
    // Runs of a previous owner may be unknown until the worker has reported.
    if (worker.hasReported) {
      this.#crashes.push(crash);
    }
    const lastStartMs = Math.max(...suspects.map(({ orderedAtMs }) => orderedAtMs));
    for (const run of suspects) {
      const history = run.task.crashes ??= new CrashHistory();
      run.step.hasCrashes = true;
      history.count++;
      history.vms.add(vm);
      history.lastCrashAtMs = nowMs;
      history.isLikely = run.orderedAtMs >= lastStartMs - RECENT_START_MS;
      if (isAlone && worker.hasReported && run.delivery === "sent") {
        history.isAwaitingVerdict = true;
        this.#openVerdicts.push({ crash, run });
      }
    }
    return suspects;
  }

  /** Decides on the crashes of which enough is known. */
  judge(workers: Iterable<WorkerRecord>, nowMs: number): Verdict[] {
    this.#crashes = this.#crashes.filter(({ atMs }) => nowMs - atMs < SPONTANEOUS_CRASH_MEMORY_MS);
    const due = this.#openVerdicts.filter(({ crash: { atMs } }) =>
      this.#listAskedAtMs >= atMs + VERDICT_LIST_DELAY_MS || nowMs - atMs >= MAX_VERDICT_DELAY_MS
    );
    if (due.length === 0) {
      return [];
    }
    this.#openVerdicts = this.#openVerdicts.filter((verdict) => !due.includes(verdict));
    const present = [...workers];
    return due.flatMap((verdict) => {
      const { crash, run: { task, step: { job } } } = verdict;
      const { crashes } = task;
      if (crashes === undefined) {
        return [];
      }
      crashes.isAwaitingVerdict = false;
      crashes.loneVms.add(crash.vm);
      if (!this.#hasRackFailed(verdict, present)) {
        crashes.aloneOn.push(crash.vm);
      }
      const isConvicted = !job.isOver && !task.isDone && this.#isConvicted(task, crashes);
      return { job, task, crashes, isConvicted };
    });
  }

  #isConvicted(task: TaskRecord, crashes: CrashHistory): boolean {
    const { count, aloneOn, loneVms, isRestored } = crashes;
    const maxCrashes = isRestored ? MAX_CRASHES - 1 : MAX_CRASHES;
    const vmCount = new Set(aloneOn).size;
    const minVmCount = this.#crashes.some(isSpontaneous)
      ? MIN_LONE_CRASHES_WHEN_VMS_FAIL
      : MIN_LONE_CRASHES;
    return (count >= MIN_CRASHES && vmCount >= minVmCount) ||
      (count >= maxCrashes && loneVms.size >= MIN_LONE_CRASHES) ||
      (aloneOn.length >= MAX_LONE_CRASHES && !this.#hasCrashedWithout(task, aloneOn));
  }

  /** Whether one of the VMs has also crashed while the task was not at work there. */
  #hasCrashedWithout(task: TaskRecord, vms: readonly string[]): boolean {
    return this.#crashes.some(({ vm, suspects }) =>
      vms.includes(vm) && !suspects.some((run) => run.task === task)
    );
  }

  /** Whether the whole rack of the VM has crashed with it, so that no task was the cause. */
  #hasRackFailed({ crash, run }: OpenVerdict, workers: readonly WorkerRecord[]): boolean {
    const isOfRack = (rack: string | undefined) => rack !== undefined && rack === crash.rack;
    const hasCrashedNeighbour = this.#crashes.some((other) =>
      other.vm !== crash.vm && !other.isExpected && isOfRack(other.rack) &&
      other.atMs >= run.orderedAtMs && Math.abs(other.atMs - crash.atMs) <= SAME_CAUSE_MS
    );
    return hasCrashedNeighbour &&
      !workers.some(({ info, knownSinceMs }) =>
        isOfRack(info.labels.at(-1)) && info.vm !== crash.vm && knownSinceMs < crash.atMs
      );
  }
}

/** Whether the run was at work for so long, on a worker last seen at `seenAtMs`, that it caused no crash. */
function isCleared(run: Run, seenAtMs: number): boolean {
  const { step, isTakenOver, reportedAtMs = seenAtMs, orderedAtMs } = run;
  const atWorkMs = Math.max(reportedAtMs, seenAtMs) - orderedAtMs;
  return step.spec.isLasting && (isTakenOver || atWorkMs >= CLEAR_LONG_RUNNING_AFTER_MS);
}

/** Whether none of the tasks at work can have caused the crash. */
function isSpontaneous({ suspects }: WorkerCrash): boolean {
  return suspects.every(({ task }) => task.isDone);
}
