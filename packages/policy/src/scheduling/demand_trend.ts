/**
 * Projects demand to the time at which a VM that is ordered now can take tasks. At the start of a
 * queue's peak, demand rises to many times its mean within a few seconds.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The window for the slope of demand; short, so that one large job isn't a trend for long. */
const WINDOW_MS = 1_000;
/** A move takes 1.5 s, and demand usually keeps rising for that long. */
const LOOKAHEAD_MS = 1_500;
/** The projection is at most this multiple of the current demand. */
const MAX_GROWTH_FACTOR = 2;

interface Sample {
  readonly atMs: number;
  readonly demand: schema.scheduling.Resources;
}

/** Records the recent demand of each pool and projects it. */
export class DemandTrend {
  readonly #samples = new Map<string, Sample[]>();

  /** Records the current demand and extrapolates its rise linearly; a fall is not extrapolated. */
  project(
    pool: string,
    demand: schema.scheduling.Resources,
    nowMs: number,
  ): schema.scheduling.Resources {
    const samples = (this.#samples.get(pool) ?? []).filter(({ atMs }) => nowMs - atMs <= WINDOW_MS);
    const oldest = samples[0];
    this.#samples.set(pool, [...samples, { atMs: nowMs, demand }]);
    if (oldest === undefined || nowMs === oldest.atMs) {
      return demand;
    }
    const factor = LOOKAHEAD_MS / (nowMs - oldest.atMs);
    const project = (now: number, before: number) =>
      Math.round(Math.min(now + Math.max(0, now - before) * factor, now * MAX_GROWTH_FACTOR));
    return {
      cpuMillicores: project(demand.cpuMillicores, oldest.demand.cpuMillicores),
      memoryMb: project(demand.memoryMb, oldest.demand.memoryMb),
      gpuCount: demand.gpuCount,
    };
  }
}
