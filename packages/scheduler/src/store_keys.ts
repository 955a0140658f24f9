/**
 * Keys of the scheduler's records in the platform store.
 *
 * @module
 */

/** The owner record; its revision is the fencing token. */
export const OWNER_KEY = "jackdawlink/owner";
/** The last term and the strength of the strongest owner; unlike the owner record, it has no lease. */
export const TERM_KEY = "jackdawlink/term";
/** Rewritten with each write of progress; its revision keeps late writes from replacing newer ones. */
export const JOURNAL_KEY = "jackdawlink/journal";
/** Jobs and cancellations that entries store for callers; the owner follows both. */
export const INTAKE_PREFIX = "jackdawlink/in/";
/** The progress of jobs, written by the owner. */
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

/** Parses a key below `INTAKE_PREFIX`; undefined if it is of neither kind. */
export function parseIntakeKey(key: string): { kind: "job" | "cancel"; jobId: string } | undefined {
  if (key.startsWith(JOB_PREFIX)) {
    return { kind: "job", jobId: key.slice(JOB_PREFIX.length) };
  }
  return key.startsWith(CANCEL_PREFIX)
    ? { kind: "cancel", jobId: key.slice(CANCEL_PREFIX.length) }
    : undefined;
}

/** The VMs that are done with each maintenance wave. */
export const WAVE_PREFIX = "jackdawlink/wave/";

export function waveKey(wave: number): string {
  return `${WAVE_PREFIX}${wave}`;
}
