import { describe, expect, it } from "vitest";
import { LatencyHistogram } from "../load/latency_histogram.ts";
import { formatCsv } from "./csv.ts";
import * as summary from "./summary.ts";
import { drawPlot } from "./svg_plot.ts";

const TARGET = { kind: "atMost", value: 3 } as const;

describe("the summary of several seeds", () => {
  it.each([
    { name: "all seeds meet it", values: [1, 2, 3], median: 2, isMet: true },
    { name: "the worst seed misses it", values: [1, 2, 4], median: 2, isMet: false },
    { name: "a seed has no value", values: [1, Number.NaN], median: Number.NaN, isMet: false },
  ])("reports the median and whether the target is met if $name", ({ values, median, isMet }) => {
    const seeds = values.map((value, seed) => ({
      seed,
      figures: [{ name: "figure", unit: "ms", value, target: TARGET }],
    }));
    const [summarized] = summary.summarize(seeds);
    expect(summarized).toMatchObject({ median, isMet });
  });
});

it("returns percentiles in milliseconds", () => {
  const latencies = new LatencyHistogram(Array.from({ length: 1_000 }, (_, index) => index + 1));
  expect(latencies.percentileMs(50)).toBeCloseTo(500, -1);
  expect(latencies.percentileMs(99)).toBeCloseTo(990, -1);
  expect(new LatencyHistogram().percentileMs(50)).toBeNaN();
});

it("quotes CSV cells and escapes SVG text", () => {
  expect(formatCsv(["a", "b"], [['x,"y"', 1]])).toBe('a,b\n"x,""y""",1\n');
  const plot = { name: "p", title: "a < b", xLabel: "x", yLabel: "y", series: [] };
  expect(drawPlot(plot)).toContain("a &lt; b");
});
