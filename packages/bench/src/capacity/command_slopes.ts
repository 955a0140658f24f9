/**
 * Measures the processor time and peak memory of command line processes by number of teams.
 *
 * @module
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as toml from "smol-toml";
import * as plannedSize from "./planned_size.ts";
import * as processUsage from "./process_usage.ts";
import { pause } from "./running_system.ts";
import type { Slope } from "./slope.ts";

interface CommandUsage {
  readonly cpuMs: number;
  readonly peakBytes: number;
}

const SAMPLE_MS = 5;
const COMMANDS: Readonly<Record<string, (file: string) => readonly string[]>> = {
  "apply the whole set": (file) => ["apply", file],
  "withdraw one key": () => ["key", "withdraw", "team-1-key-1"],
};

/** Applies configurations of different sizes and then one change, each in a separate process. */
export async function run(): Promise<readonly Slope[]> {
  const usages = new Map<string, { teams: number; usage: CommandUsage }[]>();
  for (const teams of plannedSize.TEAM_COUNTS) {
    for (const [name, usage] of await measureCommands(teams)) {
      usages.set(name, [...usages.get(name) ?? [], { teams, usage }]);
    }
  }
  return [...usages].flatMap(([name, measured]) => {
    const common = { size: "teams", plannedSize: plannedSize.PLANNED.teams };
    return [
      {
        figure: `${name}: processor time, ms`,
        points: measured.map(({ teams, usage }) => ({ x: teams, y: usage.cpuMs })),
        ...common,
      },
      {
        figure: `${name}: peak memory, bytes`,
        points: measured.map(({ teams, usage }) => ({ x: teams, y: usage.peakBytes })),
        ...common,
      },
    ];
  });
}

async function measureCommands(teams: number): Promise<[string, CommandUsage][]> {
  const processes = new testing.processes.Processes();
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), "jackdawlink-capacity-"));
  try {
    const platform = await processes.start("stand-in-platform");
    const settings = path.join(directory, "cli.toml");
    const url = `http://${String(platform.ready?.["address"])}`;
    fs.writeFileSync(settings, toml.stringify({ store: { url } }));
    const file = path.join(directory, "config.toml");
    fs.writeFileSync(file, toml.stringify(plannedSize.plannedConfig(teams)));
    const usages: [string, CommandUsage][] = [];
    for (const [name, args] of Object.entries(COMMANDS)) {
      usages.push([name, await measureCommand(processes, [...args(file), "--settings", settings])]);
    }
    return usages;
  } finally {
    await processes.stopAll();
    fs.rmSync(directory, { recursive: true, force: true });
  }
}

/** Samples a command while it runs, since `/proc` has no data of a process that has exited. */
async function measureCommand(
  processes: testing.processes.Processes,
  args: readonly string[],
): Promise<CommandUsage> {
  const program = await processes.start("jackdawlink", { args, awaitReady: false });
  let cpuMs = 0;
  let peakBytes = 0;
  while (program.isRunning) {
    const usage = trySample(program);
    cpuMs = Math.max(cpuMs, usage?.cpuMs ?? 0);
    peakBytes = Math.max(peakBytes, usage?.residentBytes ?? 0);
    await pause(SAMPLE_MS);
  }
  const { code } = await program.exited;
  if (code !== 0) {
    throw new schema.errors.JackdawlinkError(`A command failed: ${program.lines.join("; ")}`);
  }
  return { cpuMs, peakBytes };
}

function trySample(program: testing.processes.ChildProgram): processUsage.ProcessUsage | null {
  try {
    const usage = processUsage.readUsage(program);
    return Number.isNaN(usage.residentBytes) ? null : usage;
  } catch {
    return null;
  }
}
