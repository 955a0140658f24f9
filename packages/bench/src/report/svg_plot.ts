/**
 * Draws line plots as SVG.
 *
 * @module
 */

/** One line of a plot. */
export interface Series {
  readonly name: string;
  /** Pairs of x and y, ordered by x. */
  readonly points: readonly (readonly [number, number])[];
}

/** One plot with its axes. */
export interface Plot {
  /** Part of the file name. */
  readonly name: string;
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
}

const WIDTH_PX = 720;
const HEIGHT_PX = 400;
const MARGIN_PX = { left: 70, right: 180, top: 40, bottom: 50 };
const TICK_COUNT = 5;
const LEGEND_LINE_PX = 18;
const COLORS = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf"];

interface Range {
  readonly from: number;
  readonly to: number;
}

/** Maps values of one axis to pixels. */
type Scale = (value: number) => number;

/** Draws a plot; the y axis starts at zero unless a value is negative. */
export function drawPlot(plot: Plot): string {
  const points = plot.series.flatMap((series) => series.points);
  const xRange = rangeOf(points.map(([x]) => x));
  const yRange = includeZero(rangeOf(points.map(([, y]) => y)));
  const toX = scale(xRange, { from: MARGIN_PX.left, to: WIDTH_PX - MARGIN_PX.right });
  const toY = scale(yRange, { from: HEIGHT_PX - MARGIN_PX.bottom, to: MARGIN_PX.top });
  const size = `width="${WIDTH_PX}" height="${HEIGHT_PX}"`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif" font-size="12">`,
    `<rect ${size} fill="white"/>`,
    text({ x: WIDTH_PX / 2, y: MARGIN_PX.top / 2 }, plot.title, "middle"),
    ...xAxis(xRange, toX, plot.xLabel),
    ...yAxis(yRange, toY, plot.yLabel),
    ...plot.series.map((series, index) => line(series, { toX, toY, color: colorOf(index) })),
    ...plot.series.flatMap((series, index) => legend(series.name, index)),
    "</svg>",
    "",
  ].join("\n");
}

function rangeOf(values: readonly number[]): Range {
  if (values.length === 0) return { from: 0, to: 1 };
  const from = values.reduce((least, value) => Math.min(least, value), Infinity);
  const to = values.reduce((most, value) => Math.max(most, value), -Infinity);
  return from === to ? { from, to: from + 1 } : { from, to };
}

function includeZero({ from, to }: Range): Range {
  return { from: Math.min(0, from), to };
}

function scale(values: Range, pixels: Range): Scale {
  const factor = (pixels.to - pixels.from) / (values.to - values.from);
  return (value) => pixels.from + (value - values.from) * factor;
}

function ticksOf({ from, to }: Range): readonly number[] {
  return Array.from(
    { length: TICK_COUNT + 1 },
    (_, index) => from + (to - from) * index / TICK_COUNT,
  );
}

function xAxis(range: Range, toX: Scale, label: string): string[] {
  const y = HEIGHT_PX - MARGIN_PX.bottom;
  const middle = (MARGIN_PX.left + WIDTH_PX - MARGIN_PX.right) / 2;
  return [
    `<path d="M${MARGIN_PX.left} ${y}H${WIDTH_PX - MARGIN_PX.right}" stroke="black"/>`,
    ...ticksOf(range).map((tick) =>
      text({ x: toX(tick), y: y + 18 }, formatNumber(tick), "middle")
    ),
    text({ x: middle, y: HEIGHT_PX - 10 }, label, "middle"),
  ];
}

function yAxis(range: Range, toY: Scale, label: string): string[] {
  const x = MARGIN_PX.left;
  const right = WIDTH_PX - MARGIN_PX.right;
  return [
    `<path d="M${x} ${MARGIN_PX.top}V${HEIGHT_PX - MARGIN_PX.bottom}" stroke="black"/>`,
    ...ticksOf(range).map((tick) => `<path d="M${x} ${px(toY(tick))}H${right}" stroke="#ddd"/>`),
    ...ticksOf(range).map((tick) =>
      text({ x: x - 6, y: toY(tick) + 4 }, formatNumber(tick), "end")
    ),
    `<g transform="translate(16 ${HEIGHT_PX / 2}) rotate(-90)">`,
    text({ x: 0, y: 0 }, label, "middle"),
    "</g>",
  ];
}

function line(
  { points }: Series,
  { toX, toY, color }: { toX: Scale; toY: Scale; color: string },
): string {
  const pairs = points.map(([x, y]) => `${px(toX(x))},${px(toY(y))}`);
  return `<polyline points="${pairs.join(" ")}" fill="none" stroke="${color}" stroke-width="1.5"/>`;
}

function legend(name: string, index: number): string[] {
  const x = WIDTH_PX - MARGIN_PX.right + 12;
  const y = MARGIN_PX.top + index * LEGEND_LINE_PX;
  return [
    `<path d="M${x} ${y - 4}h16" stroke="${colorOf(index)}" stroke-width="2"/>`,
    text({ x: x + 22, y }, name, "start"),
  ];
}

function text(at: { x: number; y: number }, content: string, anchor: string): string {
  return `<text x="${px(at.x)}" y="${px(at.y)}" text-anchor="${anchor}">${
    escapeXml(content)
  }</text>`;
}

function colorOf(index: number): string {
  return COLORS[index % COLORS.length]!;
}

function px(value: number): string {
  return value.toFixed(1);
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(3)));
}

function escapeXml(content: string): string {
  return content.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
