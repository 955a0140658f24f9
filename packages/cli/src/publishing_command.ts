/**
 * The base class of commands that publish a change and can wait until it is in force.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { EXIT_CODES } from "./exit_codes.ts";
import { type Acceptance, waitUntilAccepted } from "./acceptance.ts";
import { parseCount } from "./number_option.ts";
import { type CommandResult, OperatorCommand, type Output } from "./operator_command.ts";
import type { PublishResult } from "./publishing.ts";
import type { Session } from "./session.ts";

const DEFAULT_WAIT_TIMEOUT_MS = 15_000;

/** The output of a command in addition to the published change. */
export type ExtraOutput = Pick<Output, "lines"> & { readonly json: Record<string, unknown> };

/** Publishes a change, waits for acceptance with `--wait`, and prints the state of the rollout. */
export abstract class PublishingCommand extends OperatorCommand {
  wait = Option.Boolean("--wait", false, { description: "Return once the change is in force" });
  timeoutMs = Option.String("--timeout-ms", String(DEFAULT_WAIT_TIMEOUT_MS), {
    description: "How long --wait waits, in milliseconds",
  });

  /** Makes and publishes the change. */
  abstract publishChange(
    session: Session,
  ): Promise<Result<PublishResult, schema.errors.JackdawlinkError>>;

  /** The additional output after the change has been published. */
  protected extraOutput(): ExtraOutput {
    return { json: {}, lines: [] };
  }

  override async run(session: Session): Promise<CommandResult> {
    const timeoutMs = parseCount("--timeout-ms", this.timeoutMs);
    if (timeoutMs.isErr()) return err(timeoutMs.error);
    const published = await this.publishChange(session);
    if (published.isErr()) return err(published.error);
    const { head } = published.value.record;
    const acceptance = this.wait
      ? await waitUntilAccepted(session, { head, timeoutMs: timeoutMs.value })
      : null;
    return ok(describePublished(published.value, {
      acceptance,
      extra: this.extraOutput(),
    }));
  }
}

function describePublished(
  { record, changes, warnings }: PublishResult,
  { acceptance, extra }: { acceptance: Acceptance | null; extra: ExtraOutput },
): Output {
  const { revision } = record.head;
  const hasTimedOut = acceptance !== null && !acceptance.isAccepted;
  const verb = changes.length === 0 ? "unchanged at" : "published";
  return {
    json: { revision, changes, warnings, acceptance, ...extra.json },
    lines: [
      ...changes.map(policy.configDiff.describeChange),
      ...warnings.map(policy.findings.describeFinding),
      `${verb} revision ${revision}${describeAcceptance(acceptance)}`,
      ...extra.lines,
    ],
    exitCode: hasTimedOut ? EXIT_CODES.notYetInForce : EXIT_CODES.ok,
  };
}

function describeAcceptance(acceptance: Acceptance | null): string {
  if (acceptance === null) return "";
  const { isAccepted, memberCount, reportingCount } = acceptance;
  const state = isAccepted ? "in force on" : "not yet in force: held by";
  return `, ${state} ${reportingCount} of ${memberCount} members`;
}
