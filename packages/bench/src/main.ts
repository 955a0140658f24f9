/**
 * Entry point of `npm run bench -- <experiment>`, which runs experiments and compares their figures
 * with targets.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import { BenchCommand } from "./bench_command.ts";
import { CapacityCommand } from "./capacity/capacity_command.ts";
import { LoadCommand } from "./load/load_command.ts";

const cli = new Cli({ binaryName: "bench", binaryLabel: "jackdawlink-bench" });
for (const command of [Builtins.HelpCommand, BenchCommand, CapacityCommand, LoadCommand]) {
  cli.register(command);
}
process.exit(await cli.run(process.argv.slice(2)));
