/**
 * The command line with all its commands.
 *
 * @module
 */
import { type BaseContext, Builtins, Cli } from "clipanion";
import { ApplyCommand } from "./commands/apply_command.ts";
import { CheckCommand } from "./commands/check_command.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  CheckCommand,
  ApplyCommand,
];

/** Runs one command line and gives its exit code. */
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
