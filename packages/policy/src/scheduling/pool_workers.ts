/**
 * The workers of each pool during one decision. It answers full pools: where hundreds of steps wait, most
 * are turned away by one comparison instead of a look at every worker.
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
  /** No open worker has more room than this of any resource; undefined where it isn't known. */
  #mostFree: schema.scheduling.Resources | undefined;

  constructor(nowMs: number) {
    this.#nowMs = nowMs;
  }

  /** False where no worker has so much room; true does not mean that one has all of it. */
  mightFit(room: schema.scheduling.Resources): boolean {
    this.#mostFree ??= this.#measure();
    return resources.fits(room, this.#mostFree);
  }

  /** What is free is not what it was: runs were added, or were taken back. */
  invalidate(): void {
    this.#mostFree = undefined;
  }

  #measure(): schema.scheduling.Resources {
    let most = resources.NO_RESOURCES;
    for (const worker of this.workers) {
      if (worker.isSchedulable(this.#nowMs)) {
        most = resources.max(most, worker.free);
      }
    }
    return most;
  }
}

/** Groups workers by the pool that they are in. */
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
