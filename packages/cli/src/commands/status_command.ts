/**
 * `jackdawlink status`
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { Command } from "clipanion";
import { ok } from "neverthrow";
import { EXIT_CODES } from "../exit_codes.ts";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";

/** The status of one entry, or the reason why it could not be read. */
type EntryReport =
  | { readonly address: string; readonly status: schema.operator.Status }
  | { readonly address: string; readonly reason: string };

/** Prints the published revision and the status of each entry. Also works without the store. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Print the published revision and what each entry reports",
  });

  override async run(session: Session): Promise<CommandResult> {
    const record = await session.headRepository.read();
    const head = record.map((read) => read.head).unwrapOr(null);
    const listed = head?.members.map((member) => member.operatorAddress) ?? [];
    const addresses = [...new Set([...listed, ...session.settings.entries])];
    const entries = await Promise.all(addresses.map((address) => askEntry(session, address)));
    const storeLine = record.isOk() ? describeHead(record.value.head) : record.error.message;
    return ok({
      json: { head, store: record.isOk() ? "available" : record.error.message, entries },
      lines: [storeLine, ...entries.map((entry) => describeEntry(entry, head))],
      exitCode: record.isOk() ? EXIT_CODES.ok : EXIT_CODES.storeUnavailable,
    });
  }
}

async function askEntry(session: Session, address: string): Promise<EntryReport> {
  const status = await session.operators.status(address);
  return status.isOk()
    ? { address, status: status.value }
    : { address, reason: status.error.message };
}

function describeHead(head: schema.head.Head): string {
  const at = new Date(head.changedAtMs).toISOString();
  const revisions = `revision ${head.revision}, configuration ${head.configRevision}`;
  const sizes = `${head.members.length} members, ${head.fences.length} fences`;
  return `${revisions}, changed ${at} by ${head.author}; ${sizes}`;
}

function describeEntry(entry: EntryReport, head: schema.head.Head | null): string {
  if ("reason" in entry) return `${entry.address} out of reach: ${entry.reason}`;
  const { memberId, incarnation, fresh, freshBy, revision, acceptedRevision } = entry.status;
  const isListed = head?.members.some((member) =>
    member.memberId === memberId && member.incarnation === incarnation
  );
  const listing = isListed === undefined ? "" : isListed ? ", listed" : ", not listed";
  const freshness = fresh ? `fresh by ${freshBy}` : "not fresh";
  return `${entry.address} ${memberId}: revision ${revision}, in force ${acceptedRevision}, ` +
    `${freshness}${listing}`;
}
