/**
 * Task ids, and the state of a job after an attempt has ended.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The id of the task that is a job's n-th attempt. */
export function taskIdOf(jobId: string, attempt: number): string {
  return `${jobId}.${attempt}`;
}

/** How an attempt ended, as reported by the platform. */
export type AttemptEnd =
  | "never-started"
  | "checkpointed"
  | "stopped"
  | "succeeded"
  | "failed"
  | "worker-lost";

/** The new state of a job and the reason for it. */
export type JobStateChange = {
  readonly state: "waiting" | "succeeded" | "failed" | "cancelled" | "unknown";
  readonly reason: string;
};

/**
 * Decides the state of a job after an attempt ended. A job is attempted again if it is repeatable
 * and has attempts left, if the attempt never started, or if it was stopped after a checkpoint. A
 * requested cancellation takes precedence, unless the attempt succeeded or its worker was lost.
 */
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
