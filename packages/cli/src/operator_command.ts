/**
 * The base classes of all commands: settings, output as text or JSON, and exit codes.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { type BaseContext, Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import { EXIT_CODES, exitCodeOf } from "./exit_codes.ts";
import { openSession, type Session } from "./session.ts";

/** The output of a command: one JSON value, and the same as lines of text. */
export interface Output {
  readonly json: unknown;
  readonly lines: readonly string[];
  readonly exitCode?: number;
}

/** The result of a command. */
export type CommandResult = Result<Output, schema.errors.JackdawlinkError>;

/** The base class of commands that need no store. */
export abstract class PlainCommand extends Command<BaseContext> {
  json = Option.Boolean("--json", false, { description: "Print one JSON value" });

  /** Prints a result and returns its exit code. */
  protected print(result: CommandResult): number {
    const output = result.isOk() ? result.value : failureOutput(result.error);
    const text = this.json ? JSON.stringify(output.json, null, 2) : output.lines.join("\n");
    const stream = result.isOk() || this.json ? this.context.stdout : this.context.stderr;
    if (text !== "") stream.write(`${text}\n`);
    return output.exitCode ?? EXIT_CODES.ok;
  }
}

/** The base class of commands that use the store in the settings. */
export abstract class OperatorCommand extends PlainCommand {
  settings = Option.String("--settings", {
    description: "The settings file; without it JACKDAWLINK_SETTINGS names one",
  });

  abstract run(session: Session): Promise<CommandResult>;

  override async execute(): Promise<number> {
    const session = openSession(this.settings, this.context.env);
    if (session.isErr()) return this.print(session.map(() => ({ json: null, lines: [] })));
    try {
      return this.print(await this.run(session.value));
    } finally {
      await session.value.close();
    }
  }
}

/** Functions that list the details of an error of one class, and nothing for other errors. */
const DETAILS: readonly ((error: unknown) => readonly string[])[] = [
  (error) =>
    error instanceof adapters.configRepository.ConfigCheckError
      ? error.findings.map(policy.findings.describeFinding)
      : [],
  (error) =>
    error instanceof adapters.configRepository.ConfigConflictError
      ? error.changes.map(policy.configDiff.describeChange)
      : [],
];

function failureOutput(error: schema.errors.JackdawlinkError): Output {
  const details = DETAILS.flatMap((list) => list(error));
  return {
    json: { error: { type: error.name, message: error.message, details } },
    lines: [`${error.name}: ${error.message}`, ...details],
    exitCode: exitCodeOf(error),
  };
}
