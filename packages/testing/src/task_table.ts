/**
 * The workers of the stand-in platform and their tasks.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** A worker and its faults. */
export interface WorkerSetup {
  readonly worker: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators?: number;
  /** Whether every task on the worker fails. */
  readonly failsEverything?: boolean;
}

interface Task {
  readonly spec: ports.platform.TaskSpec;
  readonly endsAtMs: number;
  state: ports.platform.ListedTask["state"];
  checkpointed: boolean;
}

/** Outcome of a start. A task id that is known or was stopped does not start again. */
export type StartOutcome = "started" | "known" | "refused";

/** All workers and tasks. `starts` counts the actual starts of each task id. */
export class TaskTable {
  readonly starts = new Map<string, number>();
  readonly #workers: readonly WorkerSetup[];
  readonly #tasks = new Map<string, Map<string, Task>>();
  readonly #barredTasks = new Set<string>();

  constructor(workers: readonly WorkerSetup[]) {
    this.#workers = workers;
    for (const { worker } of workers) {
      this.#tasks.set(worker, new Map());
    }
  }

  start(worker: string, spec: ports.platform.TaskSpec, nowMs: number): StartOutcome {
    const tasks = this.#tasks.get(worker);
    const setup = this.#workers.find((each) => each.worker === worker);
    if (
      tasks === undefined || setup === undefined ||
      this.#barredTasks.has(`${worker}/${spec.taskId}`)
    ) {
      return "refused";
    }
    if (tasks.has(spec.taskId)) {
      return "known";
    }
    this.starts.set(spec.taskId, (this.starts.get(spec.taskId) ?? 0) + 1);
    const state = setup.failsEverything === true ? "failed" : "running";
    tasks.set(spec.taskId, { spec, endsAtMs: nowMs + spec.runMs, state, checkpointed: false });
    return "started";
  }

  /** Stops a task. A task that has not started yet is barred from starting later. */
  stop(worker: string, taskId: string): ports.platform.StopOutcome {
    const task = this.#tasks.get(worker)?.get(taskId);
    if (task === undefined) {
      this.#barredTasks.add(`${worker}/${taskId}`);
      return "never-started";
    }
    if (task.state === "running") {
      task.state = "stopped";
    }
    return task.state as ports.platform.StopOutcome;
  }

  checkpoint(worker: string, taskId: string): void {
    const task = this.#tasks.get(worker)?.get(taskId);
    if (task !== undefined) {
      task.checkpointed = true;
    }
  }

  advance(nowMs: number): void {
    for (const tasks of this.#tasks.values()) {
      for (const task of tasks.values()) {
        if (task.state === "running" && nowMs >= task.endsAtMs) {
          task.state = "succeeded";
        }
      }
    }
  }

  runningOn(worker: string): number {
    const tasks = [...(this.#tasks.get(worker)?.values() ?? [])];
    return tasks.filter((task) => task.state === "running").length;
  }

  list(
    stateOf: (worker: string) => ports.platform.ListedWorker["state"],
  ): readonly ports.platform.ListedWorker[] {
    return this.#workers.map((setup) => ({
      worker: setup.worker,
      availabilityZone: setup.availabilityZone,
      rack: setup.rack,
      cores: setup.cores,
      memoryMb: setup.memoryMb,
      accelerators: setup.accelerators ?? 0,
      state: stateOf(setup.worker),
      tasks: [...(this.#tasks.get(setup.worker)?.values() ?? [])].map(listedTask),
    }));
  }
}

function listedTask(task: Task): ports.platform.ListedTask {
  const isRunning = task.state === "running";
  return {
    taskId: task.spec.taskId,
    state: task.state,
    usedCores: isRunning ? task.spec.cores : 0,
    usedMemoryMb: isRunning ? task.spec.memoryMb : 0,
    checkpointed: task.checkpointed,
  };
}
