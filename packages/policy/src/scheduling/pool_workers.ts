/**
 * Groups the workers by pool during one decision. When hundreds of steps wait for a full pool, one
 * comparison rejects most of them without a scan of all workers.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import type { WorkerRecord } from "./worker_record.ts";

/** The workers of one pool. */
export class PoolWorkers {
  readonly workers: WorkerRecord[] = [];
  readonly #nowMs: number;
  /**
   * The maximum of each resource over the schedulable workers' free capacity; undefined if out of
   * date.
   */
  #maxFree: schema.scheduling.Resources | undefined;

  constructor(nowMs: number) {
    this.#nowMs = nowMs;
  }

  /**
   * Whether `need` might fit on a worker; true does not guarantee that a single worker fits all of
   * it.
   */
  mightFit(need: schema.scheduling.Resources): boolean {
    this.#maxFree ??= this.#computeMaxFree();
    return resources.fits(need, this.#maxFree);
  }

  /** Discards the cached maximum after runs were added or removed. */
  invalidate(): void {
    this.#maxFree = undefined;
  }

  #computeMaxFree(): schema.scheduling.Resources {
    let maxFree = resources.NO_RESOURCES;
    for (const worker of this.workers) {
      if (worker.isSchedulable(this.#nowMs)) {
        maxFree = resources.max(maxFree, worker.free);
      }
    }
    return maxFree;
  }
}

/** Groups workers by pool name. */
export function groupByPool(
  workers: Iterable<WorkerRecord>,
  nowMs: number,
): Map<string, PoolWorkers> {
  const pools = new Map<string, PoolWorkers>();
  for (const worker of workers) {
    let pool = pools.get(worker.info.pool);
    if (pool === undefined) {
      pool = new PoolWorkers(nowMs);
      pools.set(worker.info.pool, pool);
    }
    pool.workers.push(worker);
  }
  return pools;
}
