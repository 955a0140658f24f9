/**
 * `jackdawlink apply FILE...`
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { readConfigTables } from "../config_files.ts";
import { parseCount } from "../number_option.ts";
import { publish, type PublishResult } from "../publishing.ts";
import { PublishingCommand } from "../publishing_command.ts";
import type { Session } from "../session.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** Merges files into the published configuration, checks the result and publishes it. */
export class ApplyCommand extends PublishingCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "Check files together with what is published, and publish them",
    details: `
      Objects that no file names stay as they are, unless --prune is given. Fields that commands
      change (withdrawn, draining, state) stay where a file leaves them out.
    `,
  });

  files = Option.Rest({ required: 1 });
  prune = Option.Boolean("--prune", false, {
    description: "Remove the objects that no file names, of the kinds that the files have",
  });
  fromRevision = Option.String("--from-revision", {
    description: "Refuse if the configuration has changed since this revision",
  });

  override async publishChange(session: Session): Promise<Result<PublishResult, JackdawlinkError>> {
    const tables = readConfigTables(this.files);
    if (tables.isErr()) return err(tables.error);
    const base = await session.readConfig();
    if (base.isErr()) return err(base.error);
    const unchanged = await this.#checkRevision(session, base.value);
    if (unchanged.isErr()) return err(unchanged.error);
    const config = policy.configText.mergeTables(base.value.config, {
      tables: tables.value,
      prune: this.prune,
    });
    const summary = `apply ${this.files.join(" ")}`;
    return await publish(session, { base: base.value, config, summary });
  }

  async #checkRevision(
    session: Session,
    base: adapters.configRepository.ConfigRecord,
  ): Promise<Result<void, JackdawlinkError>> {
    if (this.fromRevision === undefined) return ok(undefined);
    const fromRevision = parseCount("--from-revision", this.fromRevision);
    if (fromRevision.isErr()) return err(fromRevision.error);
    if (base.head.configRevision <= fromRevision.value) return ok(undefined);
    return err(await conflictSince(session, { base, revision: fromRevision.value }));
  }
}

/** A conflict error with the changes that others have published since a revision. */
async function conflictSince(
  session: Session,
  { base, revision }: { base: adapters.configRepository.ConfigRecord; revision: number },
): Promise<JackdawlinkError> {
  const { author, configRevision } = base.head;
  const records = await session.headRepository.readHistory().unwrapOr([]);
  const changes = records
    .filter((record) => record.revision > revision)
    .flatMap((record) => record.changes);
  const message = `The configuration has changed since revision ${revision}; ` +
    `${author} published revision ${configRevision}: ${changes.join("; ")}`;
  const props = { revision: configRevision, author };
  return new adapters.configRepository.ConfigConflictError(message, { props });
}
