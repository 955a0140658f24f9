/**
 * Arithmetic on amounts of processor time, memory and accelerators.
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

/** The smaller amount of each resource. */
export function min(a: Resources, b: Resources): Resources {
  return {
    cpuMillicores: Math.min(a.cpuMillicores, b.cpuMillicores),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    gpuCount: Math.min(a.gpuCount, b.gpuCount),
  };
}

export function isEqual(a: Resources, b: Resources): boolean {
  return a.cpuMillicores === b.cpuMillicores && a.memoryMb === b.memoryMb &&
    a.gpuCount === b.gpuCount;
}

/** Whether every resource of `need` fits into `free`. */
export function fits(need: Resources, free: Resources): boolean {
  return need.cpuMillicores <= free.cpuMillicores && need.memoryMb <= free.memoryMb &&
    need.gpuCount <= free.gpuCount;
}

/** Whether an amount is within a limit; a limit of zero means unlimited. */
export function isWithinLimit(used: Resources, limit: Resources): boolean {
  return (limit.cpuMillicores === 0 || used.cpuMillicores <= limit.cpuMillicores) &&
    (limit.memoryMb === 0 || used.memoryMb <= limit.memoryMb) &&
    (limit.gpuCount === 0 || used.gpuCount <= limit.gpuCount);
}

/** The resources that a task takes on its worker; tasks on spare processor time take no cores. */
export function allocationOf(step: schema.scheduling.Step): Resources {
  return step.usesSpareCpu ? { ...step.resources, cpuMillicores: 0 } : step.resources;
}

/**
 * How many tasks a workspace with usage `used` may start, at most `maxCount`; a limit of zero means
 * unlimited.
 */
export function countWithinLimit(
  need: Resources,
  { used, limit, maxCount }: {
    readonly used: Resources;
    readonly limit: Resources;
    readonly maxCount: number;
  },
): number {
  const countFor = (each: number, has: number, bound: number) =>
    bound === 0 || each === 0 ? maxCount : Math.floor((bound - has) / each);
  const count = Math.min(
    maxCount,
    countFor(need.cpuMillicores, used.cpuMillicores, limit.cpuMillicores),
    countFor(need.memoryMb, used.memoryMb, limit.memoryMb),
    countFor(need.gpuCount, used.gpuCount, limit.gpuCount),
  );
  return Math.max(0, count);
}
