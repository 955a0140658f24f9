/**
 * The command `bench capacity [--only NAME]`.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import * as experiments from "./experiments.ts";
import * as slopes from "./slope.ts";

const EXIT_USAGE = 64;

/** Runs the capacity measurements and prints their slopes as Markdown tables. */
export class CapacityCommand extends Command {
  static override paths = [["capacity"]];
  static override usage = Command.Usage({
    description: "Measure the slopes that docs/CAPACITY.md is worked out from",
  });

  only = Option.String("--only", { description: "One part of the measurement" });

  override async execute(): Promise<number> {
    const names = Object.keys(experiments.EXPERIMENTS);
    if (this.only !== undefined && !names.includes(this.only)) {
      this.context.stderr.write(`No part ${this.only}; there are ${names.join(", ")}\n`);
      return EXIT_USAGE;
    }
    for (const name of this.only === undefined ? names : [this.only]) {
      const measured = await experiments.EXPERIMENTS[name]!();
      this.context.stdout.write(`## ${name}\n\n${slopes.formatTable(measured)}\n\n`);
    }
    return 0;
  }
}
