/**
 * Demand as it will be once a VM that is ordered now can take tasks. It answers the start of a queue's
 * turn, when demand rises to many times its mean within a few seconds.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The rise is taken over this time, so that one large job does not count as a trend for long. */
const WINDOW_MS = 1_000;
/** A move takes 1.5 s; the rise goes on for so long as a rule. */
const AHEAD_MS = 1_500;
/** A projection is bounded by this multiple of the present demand. */
const MAX_FACTOR = 2;

interface Sample {
  readonly atMs: number;
  readonly demand: schema.scheduling.Resources;
}

/** The recent demand of each pool. */
export class DemandTrend {
  readonly #samples = new Map<string, Sample[]>();

  /** Notes the demand of now, and projects it along its rise; a fall is not projected. */
  project(
    pool: string,
    demand: schema.scheduling.Resources,
    nowMs: number,
  ): schema.scheduling.Resources {
    const samples = (this.#samples.get(pool) ?? []).filter(({ atMs }) => nowMs - atMs <= WINDOW_MS);
    const first = samples[0];
    this.#samples.set(pool, [...samples, { atMs: nowMs, demand }]);
    if (first === undefined || nowMs === first.atMs) {
      return demand;
    }
    const factor = AHEAD_MS / (nowMs - first.atMs);
    const project = (now: number, before: number) =>
      Math.round(Math.min(now + Math.max(0, now - before) * factor, now * MAX_FACTOR));
    return {
      cpuMillicores: project(demand.cpuMillicores, first.demand.cpuMillicores),
      memoryMb: project(demand.memoryMb, first.demand.memoryMb),
      gpuCount: demand.gpuCount,
    };
  }
}
