/**
 * `jackdawlink check FILE...`
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import { readConfigTables } from "../config_files.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { type Output, PlainCommand } from "../operator_command.ts";

/** Checks files as a complete configuration, without the store. */
export class CheckCommand extends PlainCommand {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check files as one whole configuration, without the store",
  });

  files = Option.Rest({ required: 1 });

  override execute(): Promise<number> {
    const result = readConfigTables(this.files).map((tables) => {
      const config = policy.configText.mergeTables(schema.config.emptyConfig(), {
        tables,
        prune: false,
      });
      return findingsOutput(policy.configCheck.checkConfig(config));
    });
    return Promise.resolve(this.print(result));
  }
}

function findingsOutput(findings: readonly policy.findings.Finding[]): Output {
  const errorCount = findings.filter(policy.configCheck.isError).length;
  const summary = `${errorCount} errors, ${findings.length - errorCount} warnings`;
  return {
    json: { findings },
    lines: [...findings.map(policy.findings.describeFinding), summary],
    exitCode: errorCount === 0 ? EXIT_CODES.ok : EXIT_CODES.refused,
  };
}
