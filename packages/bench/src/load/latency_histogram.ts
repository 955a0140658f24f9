/**
 * A high dynamic range histogram of request latencies.
 *
 * @module
 */
import * as hdr from "hdr-histogram-js";

const US_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;
const PLOTTED_PERCENTILES = [1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 100];

/** Records latencies; values above the trackable maximum are clamped to it. */
export class LatencyHistogram {
  readonly #histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  constructor(latenciesMs: readonly number[] = []) {
    for (const latencyMs of latenciesMs) this.record(latencyMs);
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  record(latencyMs: number): void {
    const latencyUs = Math.min(HIGHEST_LATENCY_US, Math.max(1, Math.round(latencyMs * US_PER_MS)));
    this.#histogram.recordValue(latencyUs);
  }

  /** A percentile in milliseconds; NaN if no latency was recorded. */
  percentileMs(percentile: number): number {
    if (this.count === 0) return Number.NaN;
    return this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }

  /** Pairs of percentile and latency in milliseconds, for plots. */
  percentileCurve(): (readonly [number, number])[] {
    return PLOTTED_PERCENTILES.map((percentile) => [percentile, this.percentileMs(percentile)]);
  }
}
