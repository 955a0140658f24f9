/**
 * Names of tasks: job, occurrence, step and index, separated by dots.
 *
 * @module
 */

/** The position of a task in its job. */
export interface TaskPath {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function formatTaskName({ jobId, occurrence, step, index }: TaskPath): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Parses a task name; returns undefined if the text is not one. */
export function parseTaskName(name: string): TaskPath | undefined {
  const parts = name.split(".");
  const [occurrence, step, index] = parts.slice(1).map(Number);
  const isName = parts.length === 4 && parts[0] !== "" &&
    [occurrence, step, index].every((part) => Number.isInteger(part) && part! >= 0);
  return isName
    ? { jobId: parts[0]!, occurrence: occurrence!, step: step!, index: index! }
    : undefined;
}
