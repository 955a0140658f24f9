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
import { EXIT_CODES } from "../exit_codes.ts";
import { type Acceptance, waitUntilAccepted } from "../in_force.ts";
import { parseCount } from "../number_option.ts";
import { type CommandResult, OperatorCommand, type Output } from "../operator_command.ts";
import { publish, type Published } from "../publishing.ts";
import type { Session } from "../session.ts";

const DEFAULT_WAIT_TIMEOUT_MS = 15_000;

/** Checks and publishes files over the configuration in force. */
export class ApplyCommand extends OperatorCommand {
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
  wait = Option.Boolean("--wait", false, { description: "Return once the change is in force" });
  timeoutMs = Option.String("--timeout-ms", String(DEFAULT_WAIT_TIMEOUT_MS), {
    description: "How long --wait waits, in milliseconds",
  });
  fromRevision = Option.String("--from-revision", String(Number.MAX_SAFE_INTEGER), {
    description: "Refuse if the configuration has changed since this revision",
  });

  override async run(session: Session): Promise<CommandResult> {
    const timeoutMs = parseCount("--timeout-ms", this.timeoutMs);
    if (timeoutMs.isErr()) return err(timeoutMs.error);
    const fromRevision = parseCount("--from-revision", this.fromRevision);
    if (fromRevision.isErr()) return err(fromRevision.error);
    const tables = readConfigTables(this.files);
    if (tables.isErr()) return err(tables.error);
    const base = await session.configRepository.read();
    if (base.isErr()) return err(base.error);
    const unchanged = await checkRevision(session, {
      base: base.value,
      fromRevision: fromRevision.value,
    });
    if (unchanged.isErr()) return err(unchanged.error);
    const config = policy.configText.mergeTables(base.value.config, {
      tables: tables.value,
      prune: this.prune,
    });
    const summary = `apply ${this.files.join(" ")}`;
    const published = await publish(session, { base: base.value, config, summary });
    if (published.isErr()) return err(published.error);
    return ok(
      await this.#output(session, {
        published: published.value,
        timeoutMs: timeoutMs.value,
      }),
    );
  }

  async #output(
    session: Session,
    { published, timeoutMs }: { published: Published; timeoutMs: number },
  ): Promise<Output> {
    const { head } = published.record;
    const acceptance = this.wait ? await waitUntilAccepted(session, { head, timeoutMs }) : null;
    const isLate = acceptance !== null && !acceptance.isAccepted;
    return {
      json: {
        revision: head.revision,
        changes: published.changes,
        warnings: published.warnings,
        acceptance,
      },
      lines: [
        ...published.changes.map(policy.configDiff.describeChange),
        ...published.warnings.map(policy.findings.describeFinding),
        statusLine(published, acceptance),
      ],
      exitCode: isLate ? EXIT_CODES.notYetInForce : EXIT_CODES.ok,
    };
  }
}

function statusLine(published: Published, acceptance: Acceptance | null): string {
  const { revision } = published.record.head;
  const verb = published.changes.length === 0 ? "unchanged at" : "published";
  if (acceptance === null) return `${verb} revision ${revision}`;
  const { isAccepted, memberCount, reportingCount } = acceptance;
  const counts = `${reportingCount} of ${memberCount} members`;
  return isAccepted
    ? `${verb} revision ${revision}, in force on ${counts}`
    : `${verb} revision ${revision}, not yet in force: held by ${counts}`;
}

/** Fails with a conflict if the configuration has changed since a revision. */
async function checkRevision(
  session: Session,
  { base, fromRevision }: {
    base: adapters.configRepository.ConfigRecord;
    fromRevision: number;
  },
): Promise<Result<void, schema.errors.JackdawlinkError>> {
  const { revision, configRevision, author } = base.head;
  if (configRevision <= fromRevision) return ok(undefined);
  const since = await session.headRepository.readHistory()
    .map((records) => records.filter((record) => record.revision > fromRevision))
    .unwrapOr([]);
  const lines = since.flatMap((record) => record.changes);
  const message = `The configuration has changed since revision ${fromRevision}; ` +
    `${author} published revision ${configRevision}: ${lines.join("; ")}`;
  const props = { revision, author };
  return err(new adapters.configRepository.ConfigConflictError(message, { props }));
}
