/**
 * Measures the cost of an idle entry: processor time, memory, and bytes read and written.
 *
 * @module
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";

const SETTLE_MS = 8_000;
const MEASURED_MS = 20_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const TICKS_PER_SECOND = 100;
const KB = 1_024;
const SERVICES = ["modules", "booking", "packs", "certificates", "sessions"];
const TEAMS = { "east-boards": { weight: 3 }, "west-boards": { weight: 1 } };

const MAX_CPU: experiment.Target = { kind: "atMost", value: 1.5 };
const MAX_MEMORY: experiment.Target = { kind: "atMost", value: 64 };
const MAX_TRAFFIC: experiment.Target = { kind: "atMost", value: 10 };

type System = testing.testSystem.TestSystem;

/** The counters of a process from `/proc`. */
interface ProcessCounters {
  readonly cpuTicks: number;
  readonly residentMb: number;
  /** Bytes of all read and write calls: those of sockets and of log lines. */
  readonly ioBytes: number;
}

export const idleExperiment: experiment.Experiment = {
  description: "Processor, memory and bytes a second of an idle entry",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      await publish(system);
      const bareProcess = childProcess.spawn(process.execPath, [
        "-e",
        "setInterval(() => {}, 1000)",
      ]);
      progress("idle");
      await pause(SETTLE_MS);
      const pids = system.entries.map(({ program }) => program.pid);
      const before = pids.map(readCounters);
      await pause(MEASURED_MS);
      const after = pids.map(readCounters);
      const bareMb = readCounters(bareProcess.pid!).residentMb;
      bareProcess.kill();
      return { figures: figuresOf({ before, after, bareMb }) };
    }),
};

async function publish(system: System): Promise<void> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: SERVICES,
    backendServersPerService: 1,
    teams: TEAMS,
  });
  await experimentSystem.applyToAllEntries(system, await system.startBackendServers(config));
}

function figuresOf(
  { before, after, bareMb }: {
    before: readonly ProcessCounters[];
    after: readonly ProcessCounters[];
    bareMb: number;
  },
): experiment.Figure[] {
  const seconds = MEASURED_MS / MS_PER_SECOND;
  const cpuPercents = after.map((counters, index) =>
    (counters.cpuTicks - before[index]!.cpuTicks) / TICKS_PER_SECOND / seconds * PERCENT
  );
  const trafficKb = after.map((counters, index) =>
    (counters.ioBytes - before[index]!.ioBytes) / KB / seconds
  );
  const memoryMb = after.map(({ residentMb }) => residentMb);
  return [
    { name: "processor, mean entry", unit: "% of a core", value: mean(cpuPercents) },
    {
      name: "processor, busiest entry",
      unit: "% of a core",
      value: Math.max(...cpuPercents),
      target: MAX_CPU,
    },
    {
      name: "resident memory, largest entry",
      unit: "MB",
      value: Math.max(...memoryMb),
      baseline: { name: "bare Node.js", value: bareMb },
      target: MAX_MEMORY,
    },
    { name: "resident memory above bare Node.js", unit: "MB", value: mean(memoryMb) - bareMb },
    { name: "bytes read and written, mean entry", unit: "KB/s", value: mean(trafficKb) },
    {
      name: "bytes read and written, busiest entry",
      unit: "KB/s",
      value: Math.max(...trafficKb),
      target: MAX_TRAFFIC,
    },
  ];
}

function readCounters(pid: number): ProcessCounters {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const io = fs.readFileSync(`/proc/${pid}/io`, "utf8");
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    cpuTicks: Number(fields[11]) + Number(fields[12]),
    residentMb: numberAfter(status, "VmRSS:") / KB,
    ioBytes: numberAfter(io, "rchar:") + numberAfter(io, "wchar:"),
  };
}

function numberAfter(text: string, label: string): number {
  return Number.parseInt(text.slice(text.indexOf(label) + label.length), 10);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
