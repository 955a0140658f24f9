/**
 * Bounds what a workspace may have at work that a new owner has not seen yet. A worker that is cut off during
 * a takeover may run tasks of jobs from before it; until the worker has reported, they count against the
 * workspace's limit as far as they can exist. It answers a load in which a workspace near its limit submits
 * more work right after a change of owner.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { JobRecord } from "./job_record.ts";
import * as resources from "./resources.ts";

type Resources = schema.scheduling.Resources;

/** The capacity of all workers that have yet to report. */
export function unreportedCapacity(
  workers: Iterable<{
    readonly hasReported: boolean;
    readonly totals: readonly Resources[];
  }>,
): Resources {
  let capacity = resources.NO_RESOURCES;
  for (const { hasReported, totals } of workers) {
    if (!hasReported) {
      capacity = resources.add(capacity, totals.reduce(resources.max, resources.NO_RESOURCES));
    }
  }
  return capacity;
}

/**
 * The most that unseen runs of a workspace can use: what the tasks of `jobs` need that are neither done nor
 * known to be at work, and no more than fits into `capacity`, if that is known. Tasks on spare processor time
 * are not bounded by a worker's cores.
 */
export function boundUnseenUsage(
  jobs: Iterable<JobRecord>,
  { capacity, wallMs }: { readonly capacity: Resources | undefined; readonly wallMs: number },
): Resources {
  let needed = resources.NO_RESOURCES;
  let spareCpuMillicores = 0;
  for (const job of jobs) {
    for (const { spec, count } of job.unassignedTasks(wallMs)) {
      needed = resources.add(needed, resources.allocationOf(spec), count);
      spareCpuMillicores += spec.usesSpareCpu ? count * spec.resources.cpuMillicores : 0;
    }
  }
  const bounded = capacity === undefined ? needed : resources.min(needed, capacity);
  return { ...bounded, cpuMillicores: bounded.cpuMillicores + spareCpuMillicores };
}
