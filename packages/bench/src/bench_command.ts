/**
 * The default command: `bench <experiment> [--seeds 1,2,3] [--out DIRECTORY]`.
 *
 * @module
 */
import * as os from "node:os";
import { Command, Option } from "clipanion";
import { EXPERIMENTS } from "./experiment_table.ts";
import type * as experiment from "./experiment.ts";
import * as reportFiles from "./report/report_files.ts";
import * as summary from "./report/summary.ts";

const EXIT_USAGE = 64;
const BYTES_PER_GB = 1024 ** 3;
const SEED_LIST_PATTERN = /^\d+(,\d+)*$/;

/** Runs one experiment with each seed, writes the report files and prints a summary table. */
export class BenchCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Run an experiment for each seed, and compare its figures with their targets",
    details: Object.entries(EXPERIMENTS)
      .map(([name, { description }]) => `- \`${name}\`: ${description}`)
      .join("\n\n"),
  });

  experiment = Option.String({ required: true });
  seeds = Option.String("--seeds", "1", { description: "Seeds, separated by commas" });
  out = Option.String("--out", "out", { description: "The directory for CSV and SVG files" });

  override async execute(): Promise<number> {
    const selected = EXPERIMENTS[this.experiment];
    if (selected === undefined) {
      return this.#refuse(`No experiment ${this.experiment}; there are ${experimentNames()}`);
    }
    if (!SEED_LIST_PATTERN.test(this.seeds)) {
      return this.#refuse("--seeds takes whole numbers, separated by commas");
    }
    const results = await this.#runSeeds(selected);
    const options = { experiment: this.experiment, directory: this.out };
    const files = reportFiles.writeReportFiles(results, options);
    this.#print(`${this.experiment}, seeds ${this.seeds}, ${describeMachine()}`);
    this.#print(summary.formatTable(summary.summarize(results)));
    this.#print(`Written: ${files.join(", ")}`);
    return 0;
  }

  async #runSeeds(selected: experiment.Experiment): Promise<reportFiles.SeedResult[]> {
    const results: reportFiles.SeedResult[] = [];
    for (const seed of this.seeds.split(",").map(Number)) {
      const progress = (message: string) => {
        this.context.stderr.write(`seed ${seed}: ${message}\n`);
      };
      results.push({ seed, ...await selected.runSeed({ seed, progress }) });
    }
    return results;
  }

  #refuse(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return EXIT_USAGE;
  }

  #print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function experimentNames(): string {
  return Object.keys(EXPERIMENTS).join(", ");
}

/** Describes the machine, since the measured figures depend on it. */
function describeMachine(): string {
  const cores = os.cpus().length;
  const memoryGb = Math.round(os.totalmem() / BYTES_PER_GB);
  return `${cores} cores, ${memoryGb} GB, Node.js ${process.version}`;
}
