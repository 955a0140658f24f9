/**
 * The free capacity of workers, indexed so that a placement looks at few of them.
 *
 * @module
 */

/** What a worker has free, in the units of a job's size. */
export interface WorkerCapacity {
  readonly worker: string;
  readonly availabilityZone: string;
  readonly rack: string;
  cores: number;
  memoryMb: number;
  accelerators: number;
  /** How many tasks it may get in this round; absent for any number. */
  maxNewTasks?: number;
}

/** What a task needs of its worker. */
export interface TaskSize {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** How many fitting workers of a bucket are compared for the spread over racks. */
const COMPARED_WORKERS = 4;
/** What a worker with twice the free cores costs, in tasks of the same team on a rack. */
const COST_PER_LEVEL = 0.5;

/** Workers in buckets by the power of two of their free cores, apart for those with accelerators. */
export class WorkersIndex {
  readonly #plain = new Map<number, Set<WorkerCapacity>>();
  readonly #accelerated = new Map<number, Set<WorkerCapacity>>();

  constructor(workers: readonly WorkerCapacity[]) {
    for (const worker of workers) {
      this.#bucketOf(worker).add(worker);
    }
  }

  /**
   * Takes the capacity for a task and returns its worker: one with little left over, on a rack with
   * little load. Work without accelerators takes workers with them last.
   */
  allocate(size: TaskSize, loadOf: (worker: WorkerCapacity) => number): WorkerCapacity | undefined {
    const groups = size.accelerators > 0 ? [this.#accelerated] : [this.#plain, this.#accelerated];
    for (const group of groups) {
      const worker = findIn(group, size, loadOf);
      if (worker !== undefined) {
        this.#change(worker, size);
        return worker;
      }
    }
    return undefined;
  }

  #change(worker: WorkerCapacity, size: TaskSize): void {
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

/** Whether a task of a size fits a worker. */
export function fits(
  size: TaskSize,
  worker: Omit<WorkerCapacity, "worker" | "rack" | "availabilityZone">,
): boolean {
  return size.cores <= worker.cores &&
    size.memoryMb <= worker.memoryMb &&
    size.accelerators <= worker.accelerators;
}

/**
 * The best of the first few workers that fit in each bucket: the load of the rack counts against the
 * free cores that would be broken up.
 */
function findIn(
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

/** The first few workers of a bucket that fit. */
function firstFitting(
  bucket: ReadonlySet<WorkerCapacity>,
  size: TaskSize,
): readonly WorkerCapacity[] {
  const found: WorkerCapacity[] = [];
  for (const worker of bucket) {
    if (fits(size, worker)) {
      found.push(worker);
    }
    if (found.length === COMPARED_WORKERS) {
      break;
    }
  }
  return found;
}

/** The power of two at or below a number of cores. */
function levelOf(cores: number): number {
  return cores < 1 ? -1 : Math.floor(Math.log2(cores));
}
