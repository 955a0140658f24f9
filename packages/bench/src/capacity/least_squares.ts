/**
 * Fits a straight line to measured points by ordinary least squares.
 *
 * @module
 */

/** One measurement: `y` was measured at size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The line `y = intercept + slope * x`, and the fraction of the variance that it explains. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** The coefficient of determination, at most 1; 1 where all points are equal. */
  readonly rSquared: number;
}

/** Fits a line; the slope is 0 if there are fewer than two distinct sizes. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const varianceX = sum(points.map(({ x }) => (x - meanX) ** 2));
  const covariance = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const varianceY = sum(points.map(({ y }) => (y - meanY) ** 2));
  const residual = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  return { slope, intercept, rSquared: varianceY === 0 ? 1 : 1 - residual / varianceY };
}

/** The value of a line at a size. */
export function valueAt(line: Line, x: number): number {
  return line.intercept + line.slope * x;
}

/** The median, which is the mean of the two middle values of an even number; 0 without values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? 0;
  return (lower + upper) / 2;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}
