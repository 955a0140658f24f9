/**
 * What processes that this program started have used, as Linux accounts for it.
 *
 * @module
 */
import * as fs from "node:fs";
import type * as testing from "@jackdawlink/testing";

/** Use of one process since its start, but for the memory, which is that of now. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Read and written through sockets and pipes, logs not counted. */
  readonly transferredBytes: number;
  readonly atMs: number;
}

/** Mean use of some processes over a time. */
export interface UsageRates {
  readonly cpuPercent: number;
  readonly residentBytes: number;
  readonly bytesPerSecond: number;
  readonly seconds: number;
}

/** The kernel reports processor time in these steps. */
const TICK_MS = 10;
const BYTES_PER_KB = 1_024;
const MS_PER_SECOND = 1_000;
/** Fields of the process state line, counted from the one after the command. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

type Program = testing.processes.ChildProgram;

/** Reads the use of a process that is still running. */
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

/** Mean use of each process while `activity` runs. */
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
