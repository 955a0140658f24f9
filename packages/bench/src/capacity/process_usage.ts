/**
 * Reads the resource usage of child processes from `/proc`.
 *
 * @module
 */
import * as fs from "node:fs";
import type * as testing from "@jackdawlink/testing";

/** The usage of a process since its start, and its current memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes read and written through sockets and pipes, without log lines. */
  readonly transferredBytes: number;
  readonly atMs: number;
}

/** The mean usage per process over a period. */
export interface UsageRates {
  readonly cpuPercent: number;
  readonly residentBytes: number;
  readonly bytesPerSecond: number;
  readonly seconds: number;
}

/** The resolution of the processor time that the kernel reports. */
const TICK_MS = 10;
const BYTES_PER_KB = 1_024;
const MS_PER_SECOND = 1_000;
/** Indexes of fields in `/proc/PID/stat`, counted from the field after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

type Program = testing.processes.ChildProgram;

/** Reads the usage of a process; throws if it has exited. */
export function readUsage(program: Program): ProcessUsage {
  const directory = `/proc/${program.pid}`;
  const state = fs.readFileSync(`${directory}/stat`, "utf8");
  const fields = state.slice(state.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const io = fs.readFileSync(`${directory}/io`, "utf8");
  const status = fs.readFileSync(`${directory}/status`, "utf8");
  const logBytes = program.lines.reduce((sum, line) => sum + Buffer.byteLength(line) + 1, 0);
  return {
    cpuMs: ticks * TICK_MS,
    residentBytes: numberAfter(status, "VmRSS:") * BYTES_PER_KB,
    transferredBytes: numberAfter(io, "rchar:") + numberAfter(io, "wchar:") - logBytes,
    atMs: performance.now(),
  };
}

/** Measures the mean usage per process while `activity` runs. */
export async function measureRates(
  programs: readonly Program[],
  activity: () => Promise<unknown>,
): Promise<UsageRates> {
  const before = programs.map(readUsage);
  await activity();
  const after = programs.map(readUsage);
  const seconds = (after[0]!.atMs - before[0]!.atMs) / MS_PER_SECOND;
  const mean = (read: (usage: ProcessUsage) => number, usages: readonly ProcessUsage[]) =>
    usages.reduce((sum, usage) => sum + read(usage), 0) / usages.length;
  const cpuMs = mean(({ cpuMs }) => cpuMs, after) - mean(({ cpuMs }) => cpuMs, before);
  const bytes = mean((usage) => usage.transferredBytes, after) -
    mean((usage) => usage.transferredBytes, before);
  return {
    cpuPercent: 100 * cpuMs / MS_PER_SECOND / seconds,
    residentBytes: mean(({ residentBytes }) => residentBytes, after),
    bytesPerSecond: bytes / seconds,
    seconds,
  };
}

function numberAfter(text: string, label: string): number {
  const start = text.indexOf(label);
  return Number.parseInt(text.slice(start + label.length), 10);
}
