/**
 * `jackdawlink diff FILE...`
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import { readConfigTables } from "../config_files.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";

/** Prints what `apply` would change and what its check would find. */
export class DiffCommand extends OperatorCommand {
  static override paths = [["diff"]];
  static override usage = Command.Usage({
    description: "Show what applying files would change, and what the check finds",
  });

  files = Option.Rest({ required: 1 });
  prune = Option.Boolean("--prune", false, {
    description: "Remove the objects that no file names, of the kinds that the files have",
  });

  override async run(session: Session): Promise<CommandResult> {
    const tables = readConfigTables(this.files);
    if (tables.isErr()) return err(tables.error);
    const base = await session.readConfig();
    if (base.isErr()) return err(base.error);
    const merge = { tables: tables.value, prune: this.prune };
    const config = policy.configText.mergeTables(base.value.config, merge);
    const changes = policy.configDiff.diffConfigs(base.value.config, config);
    const findings = policy.configCheck.checkConfig(config);
    const revision = base.value.head.configRevision;
    const hasErrors = findings.some(policy.configCheck.isError);
    return ok({
      json: { revision, changes, findings },
      lines: [
        ...changes.map(policy.configDiff.describeChange),
        ...findings.map(policy.findings.describeFinding),
        `${changes.length} changes against revision ${revision}`,
      ],
      exitCode: hasErrors ? EXIT_CODES.refused : EXIT_CODES.ok,
    });
  }
}
