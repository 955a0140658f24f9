/**
 * Writes the report files of an experiment: one CSV file, and one SVG file for each plot and seed.
 *
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import type * as experiment from "../experiment.ts";
import { formatCsv } from "./csv.ts";
import * as summary from "./summary.ts";
import { drawPlot } from "./svg_plot.ts";

/** The report of a run with its seed. */
export interface SeedResult extends experiment.SeedReport {
  readonly seed: number;
}

/** Writes the files and returns their paths. */
export function writeReportFiles(
  results: readonly SeedResult[],
  { experiment: name, directory }: { experiment: string; directory: string },
): string[] {
  fs.mkdirSync(directory, { recursive: true });
  const csvFile = path.join(directory, `${name}.csv`);
  fs.writeFileSync(csvFile, formatCsv(summary.FIGURE_COLUMNS, summary.figureRows(results)));
  const plotFiles = results.flatMap(({ seed, plots = [] }) =>
    plots.map((plot) => {
      const file = path.join(directory, `${name}-${plot.name}-seed-${seed}.svg`);
      fs.writeFileSync(file, drawPlot(plot));
      return file;
    })
  );
  return [csvFile, ...plotFiles];
}
