/**
 * Where the scheduler's records stand in the platform store.
 *
 * @module
 */

/** The owner's record; its revision is the fencing token. */
export const OWNER_KEY = "jackdawlink/owner";
/** The last term and the strongest owner; unlike the owner's record it does not go with a lease. */
export const TERM_KEY = "jackdawlink/term";
/** Changes with each write of progress, and keeps late writes from replacing newer ones. */
export const JOURNAL_KEY = "jackdawlink/journal";
/** What callers hand in: jobs and cancellations. The owner follows both. */
export const INTAKE_PREFIX = "jackdawlink/in/";
/** What the owner writes of jobs. */
export const PROGRESS_PREFIX = "jackdawlink/progress/";

const JOB_PREFIX = `${INTAKE_PREFIX}job/`;
const CANCEL_PREFIX = `${INTAKE_PREFIX}cancel/`;

export function jobKey(jobId: string): string {
  return JOB_PREFIX + jobId;
}

export function cancelKey(jobId: string): string {
  return CANCEL_PREFIX + jobId;
}

export function progressKey(jobId: string): string {
  return PROGRESS_PREFIX + jobId;
}

/** What a key of the intake is about; undefined for one that is not ours. */
export function parseIntakeKey(key: string): { kind: "job" | "cancel"; jobId: string } | undefined {
  if (key.startsWith(JOB_PREFIX)) {
    return { kind: "job", jobId: key.slice(JOB_PREFIX.length) };
  }
  return key.startsWith(CANCEL_PREFIX)
    ? { kind: "cancel", jobId: key.slice(CANCEL_PREFIX.length) }
    : undefined;
}

/** Which VMs are done with each maintenance wave. */
export const WAVE_PREFIX = "jackdawlink/wave/";

export function waveKey(wave: number): string {
  return `${WAVE_PREFIX}${wave}`;
}
