/**
 * Formats figures that are measured at several sizes, with a fitted line and the value at the
 * planned size.
 *
 * @module
 */
import * as leastSquares from "./least_squares.ts";

/** One figure, measured at several sizes. */
export interface Slope {
  /** The name of the figure, with its unit. */
  readonly figure: string;
  /** What the sizes count. */
  readonly size: string;
  readonly points: readonly leastSquares.Point[];
  /** The size for which the figure is extrapolated. */
  readonly plannedSize: number;
}

/** One part of the capacity measurement. */
export type CapacityExperiment = () => Promise<readonly Slope[]>;

const TABLE_HEAD = [
  "| figure | against | measured | slope | intercept | r² | exponent | at the planned size |",
  "| --- | --- | --- | --- | --- | --- | --- | --- |",
];

/** Formats a Markdown table. The value at the planned size is the measured one, if there is one. */
export function formatTable(slopes: readonly Slope[]): string {
  return [...TABLE_HEAD, ...slopes.map(rowOf)].join("\n");
}

function rowOf({ figure, size, points, plannedSize }: Slope): string {
  const line = leastSquares.fitLine(points);
  const measured = points.map(({ x, y }) => `${x}: ${formatNumber(y)}`).join(", ");
  const planned = points.find(({ x }) => x === plannedSize)?.y ??
    leastSquares.valueAt(line, plannedSize);
  const cells = [
    figure,
    size,
    measured,
    formatNumber(line.slope),
    formatNumber(line.intercept),
    line.rSquared.toFixed(3),
    exponentOf(points),
    `${formatNumber(planned)} at ${plannedSize}`,
  ];
  return `| ${cells.join(" | ")} |`;
}

/**
 * The exponent with which the figure grows with the size: 1 is linear, 2 is quadratic. Empty if a
 * size or a value is not positive.
 */
function exponentOf(points: readonly leastSquares.Point[]): string {
  if (points.some(({ x, y }) => x <= 0 || y <= 0)) return "";
  const logarithms = points.map(({ x, y }) => ({ x: Math.log(x), y: Math.log(y) }));
  return leastSquares.fitLine(logarithms).slope.toFixed(1);
}

/** Formats a number with three significant digits, without an exponent. */
function formatNumber(value: number): string {
  if (value === 0) return "0";
  const digits = Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
  return value.toLocaleString("en-US", { maximumFractionDigits: Math.min(digits, 9) });
}
