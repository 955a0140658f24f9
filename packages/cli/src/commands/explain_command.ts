/**
 * `jackdawlink explain ID`
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { ok } from "neverthrow";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExplainedLine } from "../operator_client.ts";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";

/** Prints every decision about one id, from all entries and stewards, sorted by time. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Print every decision about a request, VM, job or wave, in order of time",
  });

  id = Option.String({ required: true });

  override async run(session: Session): Promise<CommandResult> {
    const addresses = await addressesToAsk(session);
    const answers = await Promise.all(
      addresses.map((address) => session.operators.explain(address, this.id)),
    );
    const lines = answers.flatMap((answer, index) =>
      answer.map((explanation) =>
        explanation.lines.map((line) => ({ ...line, address: addresses[index] ?? "" }))
      ).unwrapOr([])
    );
    lines.sort((left, right) => left.atMs - right.atMs);
    const unreachable = answers.flatMap((answer) => answer.isErr() ? [answer.error.message] : []);
    const isFound = lines.length > 0;
    return ok({
      json: { lines, unreachable },
      lines: [
        ...lines.map(describeLine),
        ...unreachable.map((message) => `not asked: ${message}`),
        ...(isFound ? [] : [`no process knows "${this.id}"`]),
      ],
      exitCode: isFound ? EXIT_CODES.ok : EXIT_CODES.refused,
    });
  }
}

/** The listed members, if the store is available, and the processes in the settings. */
async function addressesToAsk(session: Session): Promise<readonly string[]> {
  const listed = await session.headRepository.read()
    .map((record) => record.head.members.map((member) => member.operatorAddress))
    .unwrapOr([]);
  const { entries, stewards } = session.settings;
  return [...new Set([...listed, ...entries, ...stewards])];
}

function describeLine({ atMs, address, part, message, fields }: ExplainedLine): string {
  const values = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return [new Date(atMs).toISOString(), address, `[${part}]`, message, ...values].join(" ");
}
