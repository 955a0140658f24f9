/**
 * Provides the placement with the free capacity of workers, and quarantines workers whose tasks
 * keep failing.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetState } from "./fleet_state.ts";

/** Dependencies of a `WorkerManager`. */
export interface WorkerManagerOptions {
  readonly state: FleetState;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
}

/** Keeps the failure history and the quarantine of workers. */
export class WorkerManager {
  readonly #options: WorkerManagerOptions;
  readonly #failures = new policy.fleet.quarantine.FailureHistory();

  constructor(options: WorkerManagerOptions) {
    this.#options = options;
  }

  /** The workers with the capacity that the placed jobs leave free. */
  placementWorkers(
    workers: readonly ports.platform.ListedWorker[],
    placed: readonly (policy.fleet.workersIndex.TaskSize & { readonly worker: string })[],
  ): readonly policy.fleet.placement.PlacementWorker[] {
    const used = new Map<string, { cores: number; memoryMb: number; accelerators: number }>();
    const tasks = new Map<string, number>();
    for (const task of placed) {
      const sum = used.get(task.worker) ?? { cores: 0, memoryMb: 0, accelerators: 0 };
      sum.cores += task.cores;
      sum.memoryMb += task.memoryMb;
      sum.accelerators += task.accelerators;
      used.set(task.worker, sum);
      tasks.set(task.worker, (tasks.get(task.worker) ?? 0) + 1);
    }
    return workers.map((worker) => {
      const { cores, memoryMb, accelerators } = worker;
      const sum = used.get(worker.worker) ?? { cores: 0, memoryMb: 0, accelerators: 0 };
      return {
        worker: worker.worker,
        availabilityZone: worker.availabilityZone,
        rack: worker.rack,
        cores: cores - sum.cores,
        memoryMb: memoryMb - sum.memoryMb,
        accelerators: accelerators - sum.accelerators,
        total: { cores, memoryMb, accelerators },
        usable: this.#isUsable(worker, tasks.get(worker.worker) ?? 0),
        maxNewTasks: this.#statusOf(worker.worker) === "probation" ? 1 : undefined,
      };
    });
  }

  /** Records the end of a task, and quarantines or clears its worker. */
  async recordTaskEnd(end: policy.fleet.quarantine.TaskEnd): Promise<void> {
    const { state, clock } = this.#options;
    const { worker } = end;
    const record = state.workers.get(worker);
    const status = this.#statusOf(worker);
    this.#failures.add(end);
    const isFaulty = status === "probation" ? !end.succeeded : this.#failures.isFaulty(worker);
    if (isFaulty && status !== "quarantined") {
      this.#failures.forget(worker);
      await this.#write(
        policy.fleet.quarantine.quarantine(worker, { record, wallMs: clock.wallMs() }),
      );
    } else if (end.succeeded && status === "probation") {
      await this.#write(policy.fleet.quarantine.clear(worker));
    }
  }

  #isUsable(worker: ports.platform.ListedWorker, tasks: number): boolean {
    const { state } = this.#options;
    const isUnavailable = worker.state !== "live" ||
      state.draining.operations[worker.worker] !== undefined;
    const status = this.#statusOf(worker.worker);
    return !isUnavailable && (status === "usable" || (status === "probation" && tasks === 0));
  }

  #statusOf(worker: string): policy.fleet.quarantine.WorkerStatus {
    const { state, clock } = this.#options;
    return policy.fleet.quarantine.workerStatusOf(state.workers.get(worker), clock.wallMs());
  }

  async #write(record: schema.fleet.WorkerRecord): Promise<void> {
    const written = await this.#options.state.commit({ workers: [record] });
    if (written.isOk() && written.value) {
      const { worker, reason, quarantinedUntilMs } = record;
      this.#options.decisions.add("Worker standing changed", [worker], {
        reason,
        quarantinedUntilMs,
      });
    }
  }
}
