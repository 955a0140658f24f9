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
export function roomOf(step: schema.scheduling.Step): Resources {
  return step.usesSpareCpu ? { ...step.resources, cpuMillicores: 0 } : step.resources;
}
