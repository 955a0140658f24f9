/**
 * `jackdawlink vm reboot|move|drain|release VM`
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { err } from "neverthrow";
import { parseCount } from "../number_option.ts";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";
import { askStewards } from "../steward_client.ts";

/** The base class of commands that send a request about one VM to the stewards in the settings. */
abstract class VmCommand extends OperatorCommand {
  vm = Option.String({ required: true });

  protected abstract readonly action: string;

  override run(session: Session): Promise<CommandResult> {
    return this.ask(session, {});
  }

  protected async ask(session: Session, body: object): Promise<CommandResult> {
    const path = `/v1/vms/${encodeURIComponent(this.vm)}/${this.action}`;
    const answer = await askStewards(session.settings.stewards, { method: "POST", path, body });
    return answer.map((json) => {
      const operation = json["operationId"];
      const suffix = operation === undefined ? "" : ` as operation ${String(operation)}`;
      return { json, lines: [`${this.action} of ${this.vm} started${suffix}`] };
    });
  }
}

/** The base class of commands that start an operation, with a reason and a drain time-out. */
abstract class VmOperationCommand extends VmCommand {
  reason = Option.String("--reason", { description: "Kept in the history of the VM" });
  drainTimeoutMs = Option.String("--drain-timeout-ms", {
    description: "How long the VM may drain, in milliseconds",
  });

  override async run(session: Session): Promise<CommandResult> {
    const { reason } = this;
    if (this.drainTimeoutMs === undefined) return await this.ask(session, { reason });
    const parsed = parseCount("--drain-timeout-ms", this.drainTimeoutMs);
    if (parsed.isErr()) return err(parsed.error);
    return await this.ask(session, { reason, drainTimeoutMs: parsed.value });
  }
}

/** Reboots a VM under the availability budget of its pool. */
export class VmRebootCommand extends VmOperationCommand {
  static override paths = [["vm", "reboot"]];
  static override usage = Command.Usage({ description: "Drain and reboot a VM, under its budget" });
  protected override readonly action = "reboot";
}

/** Takes a VM out of service until it is released. */
export class VmDrainCommand extends VmOperationCommand {
  static override paths = [["vm", "drain"]];
  static override usage = Command.Usage({ description: "Take a VM out of service" });
  protected override readonly action = "drain";
}

/** Puts a drained VM back into service. */
export class VmReleaseCommand extends VmCommand {
  static override paths = [["vm", "release"]];
  static override usage = Command.Usage({ description: "Put a drained VM back into service" });
  protected override readonly action = "release";
}

/** Moves a VM to another pool. */
export class VmMoveCommand extends VmOperationCommand {
  static override paths = [["vm", "move"]];
  static override usage = Command.Usage({ description: "Move a VM to another pool" });
  protected override readonly action = "move";

  toPool = Option.String("--to-pool", { required: true });

  protected override ask(session: Session, body: object): Promise<CommandResult> {
    return super.ask(session, { ...body, toPool: this.toPool });
  }
}
