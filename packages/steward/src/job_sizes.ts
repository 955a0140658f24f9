/**
 * Estimates the sizes of jobs from their declared sizes and the usage of similar jobs.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";

type Job = Pick<schema.fleet.JobRecord, "team" | "spec">;

/** Keeps the estimates in memory only; a new placer starts without them. */
export class JobSizes {
  readonly #estimates = new policy.fleet.sizeEstimates.SizeEstimates();

  /** Updates the estimate for a job's group with the usage of its running task. */
  observe(job: Job, used: policy.fleet.sizeEstimates.Usage): void {
    this.#estimates.observe(groupOf(job), { declared: job.spec, used });
  }

  /** The size that placement uses for a job. */
  sizeOf(job: Job): policy.fleet.workersIndex.TaskSize {
    return { ...this.allotted(job), accelerators: job.spec.accelerators };
  }

  /** The cores and memory that a job is allotted. */
  allotted(job: Job): policy.fleet.sizeEstimates.Usage {
    const { cores, memoryMb } = job.spec;
    return this.#estimates.estimate(groupOf(job), { cores, memoryMb });
  }
}

/** Jobs of one team with the same declared size share an estimate. */
function groupOf({ team, spec }: Job): string {
  return `${team}/${spec.cores}/${spec.memoryMb}`;
}
