/**
 * Summarizes the figures of several seeds and compares them with their targets.
 *
 * @module
 */
import type * as experiment from "../experiment.ts";
import type * as csv from "./csv.ts";

/** The figures of one seed. */
export interface SeedFigures {
  readonly seed: number;
  readonly figures: readonly experiment.Figure[];
}

/** One figure over all seeds. The target is met only if every seed meets it. */
export interface FigureSummary {
  readonly name: string;
  readonly unit: string;
  readonly median: number;
  readonly minimum: number;
  readonly maximum: number;
  readonly baseline: experiment.Baseline | null;
  readonly target: experiment.Target | null;
  readonly isMet: boolean | null;
}

/** The columns of {@link figureRows}. */
export const FIGURE_COLUMNS = [
  "seed",
  "figure",
  "unit",
  "value",
  "baseline",
  "baseline value",
  "target",
];

const TARGET_OPERATORS = { atMost: "<=", atLeast: ">=" } as const;
const SIGNIFICANT_DIGITS = 4;

/** One CSV row for each figure of each seed. */
export function figureRows(seeds: readonly SeedFigures[]): csv.CsvRow[] {
  return seeds.flatMap(({ seed, figures }) =>
    figures.map(({ name, unit, value, baseline, target }) => [
      seed,
      name,
      unit,
      value,
      baseline?.name ?? "",
      baseline?.value ?? "",
      target === undefined ? "" : formatTarget(target),
    ])
  );
}

/** One summary for each figure name, in order of first occurrence. */
export function summarize(seeds: readonly SeedFigures[]): FigureSummary[] {
  const byName = new Map<string, experiment.Figure[]>();
  for (const figure of seeds.flatMap(({ figures }) => figures)) {
    byName.set(figure.name, [...(byName.get(figure.name) ?? []), figure]);
  }
  return [...byName.values()].map(summarizeFigure);
}

function summarizeFigure(figures: readonly experiment.Figure[]): FigureSummary {
  const { name, unit, baseline, target = null } = figures[0]!;
  const values = figures.map(({ value }) => value);
  const baselines = figures.flatMap((figure) => figure.baseline?.value ?? []);
  return {
    name,
    unit,
    median: medianOf(values),
    minimum: Math.min(...values),
    maximum: Math.max(...values),
    baseline: baseline === undefined ? null : { name: baseline.name, value: medianOf(baselines) },
    target,
    isMet: target === null ? null : values.every((value) => meetsTarget(value, target)),
  };
}

/** Whether a value meets a target; NaN, a failed measurement, never does. */
export function meetsTarget(value: number, target: experiment.Target): boolean {
  return target.kind === "atMost" ? value <= target.value : value >= target.value;
}

/** Formats a table that is readable in a terminal and valid in Markdown. */
export function formatTable(summaries: readonly FigureSummary[]): string {
  const header = ["figure", "median", "range over seeds", "baseline (median)", "target", ""];
  const rows = summaries.map(tableRow);
  const widths = header.map((_, column) =>
    Math.max(...[header, ...rows].map((row) => row[column]!.length))
  );
  const formatRow = (row: readonly string[]) =>
    `| ${row.map((cell, column) => cell.padEnd(widths[column]!)).join(" | ")} |`;
  const rule = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  return [formatRow(header), rule, ...rows.map(formatRow)].join("\n");
}

function tableRow(summary: FigureSummary): string[] {
  const { name, unit, baseline, target, isMet } = summary;
  return [
    name,
    `${round(summary.median)} ${unit}`.trim(),
    `${round(summary.minimum)} to ${round(summary.maximum)}`,
    baseline === null ? "" : `${round(baseline.value)} (${baseline.name})`,
    target === null ? "" : formatTarget(target),
    isMet === null ? "" : isMet ? "met" : "missed",
  ];
}

function formatTarget({ kind, value }: experiment.Target): string {
  return `${TARGET_OPERATORS[kind]} ${value}`;
}

function round(value: number): string {
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle]!;
  return (sorted[middle - 1]! + sorted[middle]!) / 2;
}
