/**
 * Names of tasks: job, occurrence, step and index, separated by dots.
 *
 * @module
 */

/** Where a task stands in its job. */
export interface TaskPlace {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function formatTask({ jobId, occurrence, step, index }: TaskPlace): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** The place that a name stands for; undefined for text that is no such name. */
export function parseTask(name: string): TaskPlace | undefined {
  const parts = name.split(".");
  const [occurrence, step, index] = parts.slice(1).map(Number);
  const isName = parts.length === 4 && parts[0] !== "" &&
    [occurrence, step, index].every((part) => Number.isInteger(part) && part! >= 0);
  return isName
    ? { jobId: parts[0]!, occurrence: occurrence!, step: step!, index: index! }
    : undefined;
}
