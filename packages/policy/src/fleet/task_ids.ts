/**
 * Task ids, and when a job gets another attempt.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The id of the task that is a job's n-th attempt. */
export function taskIdOf(jobId: string, attempt: number): string {
  return `${jobId}.${attempt}`;
}

/** How an attempt ended, as the platform shows it. */
export type AttemptEnd =
  | "never-started"
  | "checkpointed"
  | "stopped"
  | "succeeded"
  | "failed"
  | "worker-lost";

/** The state of a job after one of its attempts ended. */
export type JobStateChange = {
  readonly state: "waiting" | "succeeded" | "failed" | "cancelled" | "unknown";
  readonly reason: string;
};

/** What becomes of a job whose attempt ended. Only a repeatable job, or one never started, tries again. */
export function jobStateAfterAttempt(
  job: Pick<schema.fleet.JobRecord, "attempt" | "spec" | "cancelRequested">,
  end: AttemptEnd,
): JobStateChange {
  if (end === "succeeded") {
    return { state: "succeeded", reason: "The task succeeded" };
  }
  if (job.cancelRequested && end !== "worker-lost") {
    return { state: "cancelled", reason: "The submitter cancelled the job" };
  }
  if (end === "never-started") {
    return { state: "waiting", reason: "The platform shows that the task never started" };
  }
  if (end === "checkpointed") {
    return { state: "waiting", reason: "The task was stopped after a checkpoint" };
  }
  if (!job.spec.repeatable) {
    return end === "worker-lost"
      ? { state: "unknown", reason: "The worker was lost and the job may not be repeated" }
      : { state: "failed", reason: "The task failed and the job may not be repeated" };
  }
  return job.attempt < job.spec.maxAttempts
    ? { state: "waiting", reason: "The task failed and the job may be repeated" }
    : { state: "failed", reason: "All attempts failed" };
}
