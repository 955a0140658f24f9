/**
 * The free capacity of workers, indexed so that a placement looks at few of them.
 *
 * @module
 */

/** What a worker has free, in the units of a job's size. */
export interface FreeWorker {
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

/** How many fitting workers are compared for the spread over racks. */
const COMPARED_WORKERS = 4;

/** Workers in buckets by the power of two of their free cores, apart for those with accelerators. */
export class WorkersIndex {
  readonly #plain = new Map<number, Set<FreeWorker>>();
  readonly #accelerated = new Map<number, Set<FreeWorker>>();

  constructor(workers: readonly FreeWorker[]) {
    for (const worker of workers) {
      this.#bucketOf(worker).add(worker);
    }
  }

  /**
   * Takes the capacity for a task and returns its worker: the tightest bucket that fits, and in it the
   * rack with the least load given. Work without accelerators takes workers with them last.
   */
  take(size: TaskSize, loadOf: (worker: FreeWorker) => number): FreeWorker | undefined {
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

  #change(worker: FreeWorker, size: TaskSize): void {
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

  #bucketOf(worker: FreeWorker): Set<FreeWorker> {
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
  worker: Omit<FreeWorker, "worker" | "rack" | "availabilityZone">,
): boolean {
  return size.cores <= worker.cores &&
    size.memoryMb <= worker.memoryMb &&
    size.accelerators <= worker.accelerators;
}

/** The least loaded of the first few workers that fit, from the tightest bucket on. */
function findIn(
  group: ReadonlyMap<number, ReadonlySet<FreeWorker>>,
  size: TaskSize,
  loadOf: (worker: FreeWorker) => number,
): FreeWorker | undefined {
  const levels = [...group.keys()].filter((level) => level >= levelOf(size.cores));
  for (const level of levels.sort((left, right) => left - right)) {
    const found: FreeWorker[] = [];
    for (const worker of group.get(level) ?? []) {
      if (fits(size, worker)) {
        found.push(worker);
      }
      if (found.length === COMPARED_WORKERS) {
        break;
      }
    }
    if (found.length > 0) {
      return found.reduce((best, next) => loadOf(next) < loadOf(best) ? next : best);
    }
  }
  return undefined;
}

/** The power of two at or below a number of cores. */
function levelOf(cores: number): number {
  return cores < 1 ? -1 : Math.floor(Math.log2(cores));
}
