/**
 * Pool sizing: forecasts demand from recent samples, and moves VMs to and from the spare pool if a
 * move costs less than the idle buffer or the shortage that it avoids.
 *
 * @module
 */

/** The demand and the size of a pool, in VMs. */
export interface PoolDemand {
  readonly pool: string;
  readonly demandVms: number;
  readonly sizeVms: number;
  /** The minimum size, set by the operator. */
  readonly minVms: number;
}

/** The costs of VMs and moves, all in the same unit. */
export interface SizingCosts {
  /** Cost of an idle VM per hour. */
  readonly bufferPerVmHour: number;
  /** Cost of a missing VM per hour. */
  readonly shortagePerVmHour: number;
  /** Cost of moving a VM, including its drain. */
  readonly perMove: number;
}

/** Options of pool sizing. */
export interface SizingOptions {
  readonly costs: SizingCosts;
  /** How long a move between two pools takes. */
  readonly moveMs: number;
  /** The period of seasonal demand, such as a day or a week. Older samples are dropped. */
  readonly seasonMs: number;
}

/** A number of VMs to move between two pools. */
export interface VmTransfer {
  readonly fromPool: string;
  readonly toPool: string;
  readonly vmCount: number;
}

interface Sample {
  readonly atMs: number;
  readonly demandVms: number;
}

const MS_PER_HOUR = 3_600_000;
/** Headroom above the forecast for changes that the trend misses. */
const HEADROOM_RATIO = 1.1;
/** How far ahead seasonal demand is anticipated, in move times, so that VMs arrive in time. */
const SEASON_MOVES_AHEAD = 2;
/** The minimum surplus at which a pool returns VMs, as a fraction of its size. */
const SURPLUS_RATIO = 0.1;

/** Keeps the recent demand of pools and decides on their sizes. */
export class PoolSizing {
  readonly #options: SizingOptions;
  readonly #samples = new Map<string, Sample[]>();
  /** When the current surplus of a pool began. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(options: SizingOptions) {
    this.#options = options;
  }

  /** Records the demand of all pools except the spare pool, and returns the transfers to make. */
  decide(
    pools: readonly PoolDemand[],
    { sparePool, spareVms, nowMs }: {
      readonly sparePool: string;
      readonly spareVms: number;
      readonly nowMs: number;
    },
  ): readonly VmTransfer[] {
    const sizes = pools.map((pool) => ({ pool, targetVms: this.#target(pool, nowMs) }));
    const returns = sizes.flatMap(({ pool, targetVms }) => {
      const vmCount = this.#surplus(pool, { targetVms, nowMs });
      return vmCount === 0 ? [] : [{ fromPool: pool.pool, toPool: sparePool, vmCount }];
    });
    const loans = lendSpareVms(sizes, spareVms)
      .map(({ pool, vmCount }) => ({ fromPool: sparePool, toPool: pool, vmCount }));
    return [...loans, ...returns];
  }

  /**
   * Forecasts the demand at the time when a move that starts now is complete: the extrapolated
   * trend, bounded by twice the current demand, or the demand around that time one season ago,
   * whichever is higher.
   */
  forecastVms(pool: string): number {
    const samples = this.#samples.get(pool) ?? [];
    const latest = samples.at(-1);
    if (latest === undefined) {
      return 0;
    }
    const earlier = samples.findLast(({ atMs }) => atMs <= latest.atMs - this.#options.moveMs);
    const elapsedMs = latest.atMs - (earlier?.atMs ?? latest.atMs);
    const slopePerMs = earlier === undefined || elapsedMs === 0
      ? 0
      : (latest.demandVms - earlier.demandVms) / elapsedMs;
    const rising = latest.demandVms + Math.max(0, slopePerMs) * this.#options.moveMs;
    return Math.max(Math.min(rising, latest.demandVms * 2), this.#seasonAgoVms(samples, latest));
  }

  #seasonAgoVms(samples: readonly Sample[], { atMs }: Sample): number {
    const { seasonMs, moveMs } = this.#options;
    const fromMs = atMs - seasonMs;
    const untilMs = fromMs + moveMs * SEASON_MOVES_AHEAD;
    const around = samples.filter((sample) => sample.atMs >= fromMs && sample.atMs <= untilMs);
    return Math.max(0, ...around.map(({ demandVms }) => demandVms));
  }

  #target(pool: PoolDemand, nowMs: number): number {
    const samples = this.#samples.get(pool.pool) ?? [];
    samples.push({ atMs: nowMs, demandVms: pool.demandVms });
    const kept = samples.filter(({ atMs }) => atMs >= nowMs - this.#options.seasonMs);
    this.#samples.set(pool.pool, kept);
    return Math.max(pool.minVms, Math.ceil(this.forecastVms(pool.pool) * HEADROOM_RATIO));
  }

  /**
   * The number of VMs to return. Keeping a surplus VM costs buffer; returning it and borrowing it
   * again costs two moves. A surplus is kept until its cost reaches that of two moves (the
   * break-even rule of the ski rental problem), which also prevents a pool from alternately
   * returning and borrowing VMs.
   */
  #surplus(
    pool: PoolDemand,
    { targetVms, nowMs }: { targetVms: number; nowMs: number },
  ): number {
    const surplus = pool.sizeVms - targetVms;
    if (surplus < Math.max(1, pool.sizeVms * SURPLUS_RATIO)) {
      this.#surplusSinceMs.delete(pool.pool);
      return 0;
    }
    const sinceMs = this.#surplusSinceMs.get(pool.pool) ?? nowMs;
    this.#surplusSinceMs.set(pool.pool, sinceMs);
    const { perMove, bufferPerVmHour } = this.#options.costs;
    const breakEvenMs = (2 * perMove / bufferPerVmHour) * MS_PER_HOUR;
    return nowMs - sinceMs >= breakEvenMs ? surplus : 0;
  }
}

/** Lends spare VMs one at a time to the pool with the largest shortage relative to its target. */
function lendSpareVms(
  sizes: readonly { readonly pool: PoolDemand; readonly targetVms: number }[],
  spareVms: number,
): readonly { readonly pool: string; readonly vmCount: number }[] {
  const loans = new Map<string, number>();
  for (let left = spareVms; left > 0; left -= 1) {
    const shortages = sizes.map(({ pool, targetVms }) => {
      const sizeVms = pool.sizeVms + (loans.get(pool.pool) ?? 0);
      return { pool: pool.pool, ratio: (targetVms - sizeVms) / Math.max(1, targetVms) };
    });
    const largest = shortages.reduce(
      (best, next) => next.ratio > best.ratio ? next : best,
      { pool: "", ratio: 0 },
    );
    if (largest.ratio <= 0) {
      break;
    }
    loans.set(largest.pool, (loans.get(largest.pool) ?? 0) + 1);
  }
  return [...loans].map(([pool, vmCount]) => ({ pool, vmCount }));
}
