/**
 * `jackdawlink drain BACKEND_SERVER` and `jackdawlink undrain BACKEND_SERVER`
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import { publishEdit, type PublishResult } from "../publishing.ts";
import { PublishingCommand } from "../publishing_command.ts";
import type { Session } from "../session.ts";

abstract class DrainingCommand extends PublishingCommand {
  backendServer = Option.String({ required: true });

  protected abstract readonly draining: boolean;

  override publishChange(
    session: Session,
  ): Promise<Result<PublishResult, schema.errors.JackdawlinkError>> {
    const { backendServer: name, draining } = this;
    return publishEdit(session, {
      summary: `${draining ? "drain" : "undrain"} ${name}`,
      edit: (config) => policy.configEdits.setDraining(config, { name, draining }),
    });
  }
}

/** Takes a backend server out of service; its running requests finish. */
export class DrainCommand extends DrainingCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    description: "Give a backend server no new requests; running ones finish",
  });

  protected override readonly draining = true;
}

/** Puts a backend server back into service. */
export class UndrainCommand extends DrainingCommand {
  static override paths = [["undrain"]];
  static override usage = Command.Usage({
    description: "Give a drained backend server requests again",
  });

  protected override readonly draining = false;
}
