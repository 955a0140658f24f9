/**
 * `jackdawlink history`
 *
 * @module
 */
import type * as adapters from "@jackdawlink/adapters";
import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import { parseCount } from "../number_option.ts";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";

const DEFAULT_LIMIT = 20;

/** Prints the published changes with their authors, newest last. */
export class HistoryCommand extends OperatorCommand {
  static override paths = [["history"]];
  static override usage = Command.Usage({
    description: "Print who changed what; the newest revision comes last",
  });

  limit = Option.String("--limit", String(DEFAULT_LIMIT), {
    description: "How many revisions to print",
  });

  override async run(session: Session): Promise<CommandResult> {
    const limit = parseCount("--limit", this.limit);
    if (limit.isErr()) return err(limit.error);
    const records = await session.headRepository.readHistory();
    if (records.isErr()) return err(records.error);
    const shown = limit.value === 0 ? [] : records.value.slice(-limit.value);
    return ok({ json: { revisions: shown }, lines: shown.flatMap(describeRecord) });
  }
}

function describeRecord(record: adapters.history.HistoryRecord): readonly string[] {
  const at = new Date(record.changedAtMs).toISOString();
  const title = `${record.revision} ${at} ${record.author}: ${record.summary}`;
  return [title, ...record.changes.map((change) => `  ${change}`)];
}
