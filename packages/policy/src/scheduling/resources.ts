/**
 * Arithmetic on amounts of processor, memory and accelerators.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

type Resources = schema.scheduling.Resources;

export const NO_RESOURCES: Resources = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };

/** `a + factor * b`. */
export function add(a: Resources, b: Resources, factor = 1): Resources {
  return {
    cpuMillicores: a.cpuMillicores + factor * b.cpuMillicores,
    memoryMb: a.memoryMb + factor * b.memoryMb,
    gpuCount: a.gpuCount + factor * b.gpuCount,
  };
}

export function subtract(a: Resources, b: Resources): Resources {
  return add(a, b, -1);
}

/** The larger amount of each resource. */
export function max(a: Resources, b: Resources): Resources {
  return {
    cpuMillicores: Math.max(a.cpuMillicores, b.cpuMillicores),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    gpuCount: Math.max(a.gpuCount, b.gpuCount),
  };
}

/** Whether `need` fits into what is free, in every respect. */
export function fits(need: Resources, free: Resources): boolean {
  return need.cpuMillicores <= free.cpuMillicores && need.memoryMb <= free.memoryMb &&
    need.gpuCount <= free.gpuCount;
}

/** Whether an amount stays within a limit in which zero stands for none. */
export function isWithinLimit(used: Resources, limit: Resources): boolean {
  return (limit.cpuMillicores === 0 || used.cpuMillicores <= limit.cpuMillicores) &&
    (limit.memoryMb === 0 || used.memoryMb <= limit.memoryMb) &&
    (limit.gpuCount === 0 || used.gpuCount <= limit.gpuCount);
}

/** What a task takes of its worker's room: tasks on spare processor time don't count their cores. */
export function allocationOf(step: schema.scheduling.Step): Resources {
  return step.usesSpareCpu ? { ...step.resources, cpuMillicores: 0 } : step.resources;
}

/** How many tasks a workspace may start beyond what it has; zero in a limit stands for none. */
export function countWithinLimit(
  need: Resources,
  { before, limit, most }: {
    readonly before: Resources;
    readonly limit: Resources;
    readonly most: number;
  },
): number {
  const countFor = (each: number, has: number, bound: number) =>
    bound === 0 || each === 0 ? most : Math.floor((bound - has) / each);
  const count = Math.min(
    most,
    countFor(need.cpuMillicores, before.cpuMillicores, limit.cpuMillicores),
    countFor(need.memoryMb, before.memoryMb, limit.memoryMb),
    countFor(need.gpuCount, before.gpuCount, limit.gpuCount),
  );
  return Math.max(0, count);
}
