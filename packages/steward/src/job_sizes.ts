/**
 * Sizes of jobs as declared, corrected by what like jobs used.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";

type Job = Pick<schema.fleet.JobRecord, "team" | "spec">;

/** Owns the estimates; they are learnt anew by a new placer. */
export class JobSizes {
  readonly #estimates = new policy.fleet.sizeEstimates.SizeEstimates();

  /** Takes in what a running task uses. */
  observe(job: Job, used: policy.fleet.sizeEstimates.Usage): void {
    this.#estimates.observe(groupOf(job), { declared: job.spec, used });
  }

  /** The size to place a job with. */
  sizeOf(job: Job): policy.fleet.workersIndex.TaskSize {
    return { ...this.allotted(job), accelerators: job.spec.accelerators };
  }

  /** The cores and memory that a job was given. */
  allotted(job: Job): policy.fleet.sizeEstimates.Usage {
    const { cores, memoryMb } = job.spec;
    return this.#estimates.estimate(groupOf(job), { cores, memoryMb });
  }
}

/** Jobs of one team with the same declared size are taken to be alike. */
function groupOf({ team, spec }: Job): string {
  return `${team}/${spec.cores}/${spec.memoryMb}`;
}
