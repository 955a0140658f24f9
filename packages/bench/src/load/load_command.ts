/**
 * The internal command that runs a load generator process.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import * as loadProcess from "./load_process.ts";

/**
 * `generate-load SPEC RESULT`: reads the load specification and writes the result, both as JSON.
 */
export class LoadCommand extends Command {
  static override paths = [[loadProcess.GENERATE_LOAD_COMMAND]];

  specFile = Option.String({ required: true });
  resultFile = Option.String({ required: true });

  override async execute(): Promise<number> {
    await loadProcess.generateLoad(this);
    return 0;
  }
}
