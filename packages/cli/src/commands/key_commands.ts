/**
 * `jackdawlink key grant NAME --team TEAM` and `jackdawlink key withdraw NAME`
 *
 * @module
 */
import { createHash, randomBytes } from "node:crypto";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import { publishEdit, type PublishResult } from "../publishing.ts";
import { type ExtraOutput, PublishingCommand } from "../publishing_command.ts";
import type { Session } from "../session.ts";

const SECRET_BYTES = 32;

/** Generates a secret, publishes its digest, and prints the secret once. */
export class KeyGrantCommand extends PublishingCommand {
  static override paths = [["key", "grant"]];
  static override usage = Command.Usage({
    description: "Make a key for a team; its secret is printed once and only its digest is kept",
  });

  name = Option.String({ required: true });
  team = Option.String("--team", { required: true, description: "The team of the key" });
  readonly #secret = randomBytes(SECRET_BYTES).toString("base64url");

  override publishChange(
    session: Session,
  ): Promise<Result<PublishResult, schema.errors.JackdawlinkError>> {
    const { name, team } = this;
    const secretSha256 = createHash("sha256").update(this.#secret).digest("hex");
    return publishEdit(session, {
      summary: `key grant ${name}`,
      edit: (config) => policy.configEdits.grantKey(config, { name, team, secretSha256 }),
    });
  }

  protected override extraOutput(): ExtraOutput {
    return { json: { secret: this.#secret }, lines: [`secret: ${this.#secret}`] };
  }
}

/** Withdraws a key permanently. */
export class KeyWithdrawCommand extends PublishingCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({ description: "Withdraw a key for good" });

  name = Option.String({ required: true });

  override publishChange(
    session: Session,
  ): Promise<Result<PublishResult, schema.errors.JackdawlinkError>> {
    const { name } = this;
    return publishEdit(session, {
      summary: `key withdraw ${name}`,
      edit: (config) => policy.configEdits.withdrawKey(config, name),
    });
  }
}
