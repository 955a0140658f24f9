/**
 * An index of workers by free capacity, so that a placement examines only a few of them.
 *
 * @module
 */

/** The free capacity of a worker. */
export interface WorkerCapacity {
  readonly worker: string;
  readonly availabilityZone: string;
  readonly rack: string;
  cores: number;
  memoryMb: number;
  accelerators: number;
  /** The maximum number of tasks that it may get in this round; unlimited if absent. */
  maxNewTasks?: number;
}

/** The resources that a task needs. */
export interface TaskSize {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** The number of fitting workers per bucket that are compared when spreading over racks. */
const COMPARED_WORKERS = 4;
/** The cost of a worker with twice the free cores, in tasks of the same team on its rack. */
const COST_PER_LEVEL = 0.5;

/** Buckets workers by powers of two of free cores, separately for workers with accelerators. */
export class WorkersIndex {
  readonly #plain = new Map<number, Set<WorkerCapacity>>();
  readonly #accelerated = new Map<number, Set<WorkerCapacity>>();

  constructor(workers: readonly WorkerCapacity[]) {
    for (const worker of workers) {
      this.#bucketOf(worker).add(worker);
    }
  }

  /**
   * Allocates capacity for a task and returns the worker, or undefined if none fits. Prefers
   * workers with few free cores on racks with a low load. Tasks that need no accelerators are
   * placed on workers with accelerators last.
   */
  allocate(size: TaskSize, loadOf: (worker: WorkerCapacity) => number): WorkerCapacity | undefined {
    const groups = size.accelerators > 0 ? [this.#accelerated] : [this.#plain, this.#accelerated];
    for (const group of groups) {
      const worker = findBest(group, size, loadOf);
      if (worker !== undefined) {
        this.#deduct(worker, size);
        return worker;
      }
    }
    return undefined;
  }

  #deduct(worker: WorkerCapacity, size: TaskSize): void {
    this.#bucketOf(worker).delete(worker);
    worker.cores -= size.cores;
    worker.memoryMb -= size.memoryMb;
    worker.accelerators -= size.accelerators;
    if (worker.maxNewTasks !== undefined) {
      worker.maxNewTasks -= 1;
    }
    if (worker.maxNewTasks === 0) {
      return;
    }
    this.#bucketOf(worker).add(worker);
  }

  #bucketOf(worker: WorkerCapacity): Set<WorkerCapacity> {
    const group = worker.accelerators > 0 ? this.#accelerated : this.#plain;
    const level = levelOf(worker.cores);
    const bucket = group.get(level) ?? new Set();
    group.set(level, bucket);
    return bucket;
  }
}

/** Whether a task of the given size fits the free capacity of a worker. */
export function fits(
  size: TaskSize,
  worker: Omit<WorkerCapacity, "worker" | "rack" | "availabilityZone">,
): boolean {
  return size.cores <= worker.cores &&
    size.memoryMb <= worker.memoryMb &&
    size.accelerators <= worker.accelerators;
}

/**
 * The best of the first few fitting workers of each bucket. The score adds the load of the rack and
 * a cost for breaking up a large number of free cores.
 */
function findBest(
  group: ReadonlyMap<number, ReadonlySet<WorkerCapacity>>,
  size: TaskSize,
  loadOf: (worker: WorkerCapacity) => number,
): WorkerCapacity | undefined {
  let best: WorkerCapacity | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const [level, bucket] of group) {
    for (const worker of level < levelOf(size.cores) ? [] : firstFitting(bucket, size)) {
      const score = loadOf(worker) + level * COST_PER_LEVEL;
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
  }
  return best;
}

/** The first fitting workers of a bucket, at most {@link COMPARED_WORKERS}. */
function firstFitting(
  bucket: ReadonlySet<WorkerCapacity>,
  size: TaskSize,
): readonly WorkerCapacity[] {
  const fitting: WorkerCapacity[] = [];
  for (const worker of bucket) {
    if (fits(size, worker)) {
      fitting.push(worker);
    }
    if (fitting.length === COMPARED_WORKERS) {
      break;
    }
  }
  return fitting;
}

/** The base-2 logarithm of a number of cores, rounded down; -1 for less than one core. */
function levelOf(cores: number): number {
  return cores < 1 ? -1 : Math.floor(Math.log2(cores));
}
