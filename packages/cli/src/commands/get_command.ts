/**
 * `jackdawlink get [KIND] [NAME]`
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import * as toml from "smol-toml";
import { type CommandResult, OperatorCommand } from "../operator_command.ts";
import type { Session } from "../session.ts";

type Tables = Record<string, Record<string, unknown>>;

/** Prints published objects as TOML that `apply` accepts. */
export class GetCommand extends OperatorCommand {
  static override paths = [["get"]];
  static override usage = Command.Usage({
    description: "Print published objects, as TOML that apply takes again",
  });

  kind = Option.String({ required: false });
  name = Option.String({ required: false });

  override async run(session: Session): Promise<CommandResult> {
    const record = await session.readConfig();
    if (record.isErr()) return err(record.error);
    const { head, config } = record.value;
    return this.#select(config).map((objects) => ({
      json: { revision: head.revision, objects },
      lines: [`# revision ${head.revision}`, toml.stringify(objects).trimEnd()],
    }));
  }

  #select(config: schema.config.Config): Result<Tables, schema.errors.JackdawlinkError> {
    if (this.kind === undefined) return ok(withoutEmptyTables(config));
    if (!Object.hasOwn(config, this.kind)) {
      const kinds = policy.configDiff.OBJECT_KINDS.join(", ");
      const message = `There is no kind "${this.kind}"; the kinds are ${kinds}`;
      return err(new schema.errors.InvalidInputError(message));
    }
    const table: Record<string, unknown> = config[this.kind as schema.config.ObjectKind];
    if (this.name === undefined) return ok({ [this.kind]: table });
    if (!Object.hasOwn(table, this.name)) {
      const message = `There is no ${this.kind} object "${this.name}"`;
      return err(new policy.configEdits.UnknownObjectError(message));
    }
    return ok({ [this.kind]: { [this.name]: table[this.name] } });
  }
}

function withoutEmptyTables(config: schema.config.Config): Tables {
  const entries = Object.entries(config).filter(([, table]) => Object.keys(table).length > 0);
  return Object.fromEntries(entries);
}
