import { describe, expect, it } from "vitest";
import { fitLine, median, valueAt } from "./least_squares.ts";

describe("fitLine", () => {
  it.each([
    { name: "an exact line", xs: [1, 2, 4], ys: [5, 7, 11], slope: 2, intercept: 3, rSquared: 1 },
    { name: "a constant", xs: [1, 2, 3], ys: [4, 4, 4], slope: 0, intercept: 4, rSquared: 1 },
    { name: "scatter", xs: [0, 1, 2], ys: [0, 3, 0], slope: 0, intercept: 1, rSquared: 0 },
    {
      name: "noise",
      xs: [1, 2, 3, 4],
      ys: [2, 3, 5, 6],
      slope: 1.4,
      intercept: 0.5,
      rSquared: 0.98,
    },
    { name: "one size", xs: [2, 2], ys: [1, 3], slope: 0, intercept: 2, rSquared: 0 },
  ])("fits $name", ({ xs, ys, slope, intercept, rSquared }) => {
    const line = fitLine(xs.map((x, index) => ({ x, y: ys[index]! })));
    expect(line.slope).toBeCloseTo(slope, 9);
    expect(line.intercept).toBeCloseTo(intercept, 9);
    expect(line.rSquared).toBeCloseTo(rSquared, 9);
    expect(valueAt(line, 10)).toBeCloseTo(intercept + 10 * slope, 9);
  });
});

describe("median", () => {
  it.each([
    { values: [3, 1, 2], expected: 2 },
    { values: [4, 1, 2, 3], expected: 2.5 },
    { values: [], expected: 0 },
  ])("of $values is $expected", ({ values, expected }) => {
    expect(median(values)).toBe(expected);
  });
});
