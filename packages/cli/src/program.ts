/**
 * The command line with all its commands.
 *
 * @module
 */
import { type BaseContext, Builtins, Cli } from "clipanion";
import { ApplyCommand } from "./commands/apply_command.ts";
import { CheckCommand } from "./commands/check_command.ts";
import { DiffCommand } from "./commands/diff_command.ts";
import { DrainCommand, UndrainCommand } from "./commands/drain_commands.ts";
import { ExplainCommand } from "./commands/explain_command.ts";
import { GetCommand } from "./commands/get_command.ts";
import { HistoryCommand } from "./commands/history_command.ts";
import * as jobs from "./commands/job_commands.ts";
import { KeyGrantCommand, KeyWithdrawCommand } from "./commands/key_commands.ts";
import { StatusCommand } from "./commands/status_command.ts";
import * as vms from "./commands/vm_commands.ts";
import * as waves from "./commands/wave_commands.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  CheckCommand,
  ApplyCommand,
  DiffCommand,
  GetCommand,
  HistoryCommand,
  StatusCommand,
  ExplainCommand,
  KeyGrantCommand,
  KeyWithdrawCommand,
  DrainCommand,
  UndrainCommand,
  waves.WavePlanCommand,
  waves.WaveStartCommand,
  waves.WavePauseCommand,
  waves.WaveResumeCommand,
  jobs.JobSubmitCommand,
  jobs.JobStatusCommand,
  jobs.JobCancelCommand,
  vms.VmRebootCommand,
  vms.VmMoveCommand,
  vms.VmDrainCommand,
  vms.VmReleaseCommand,
];

/** Runs one command line and returns its exit code. */
export async function runProgram(
  args: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> {
  const cli = new Cli({
    binaryName: "jackdawlink",
    binaryLabel: "jackdawlink",
    binaryVersion: "0.1.0",
  });
  for (const command of COMMANDS) cli.register(command);
  const fullContext = { ...Cli.defaultContext, ...context };
  try {
    const command = cli.process([...args], fullContext);
    return await cli.run(command, fullContext);
  } catch (error) {
    fullContext.stderr.write(cli.error(error));
    return EXIT_CODES.usage;
  }
}
