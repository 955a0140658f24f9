/**
 * How many VMs each pool should have: a forecast from recent demand, and moves to and from the spare
 * pool where they cost less than the buffer or the shortage that they save.
 *
 * @module
 */

/** What one pool asks for and has. Demand and capacity are in VMs. */
export interface PoolDemand {
  readonly pool: string;
  readonly demandVms: number;
  readonly sizeVms: number;
  /** The smallest size that the operator wants. */
  readonly minVms: number;
}

/** What VMs and moves cost, in the same unit. */
export interface SizingCosts {
  /** One idle VM in a pool for an hour. */
  readonly bufferPerVmHour: number;
  /** One VM missing for an hour. */
  readonly shortagePerVmHour: number;
  /** One move of a VM, with its drain. */
  readonly perMove: number;
}

/** How demand is forecast. */
export interface SizingOptions {
  readonly costs: SizingCosts;
  /** How long a VM is on its way between two pools. */
  readonly moveMs: number;
  /** The time after which demand repeats itself, such as a day or a week. Older demand is forgotten. */
  readonly seasonMs: number;
}

/** VMs that should change pools. */
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
/** Room above the forecast for what a trend misses. */
const HEADROOM_RATIO = 1.1;
/** How far ahead, in moves, a season's repetition is met, so that VMs arrive before they are needed. */
const SEASON_MOVES_AHEAD = 2;
/** A pool gives VMs back only once it has had this many more than it needs, as a part of its size. */
const SURPLUS_RATIO = 0.1;

/** The demand of pools over a window, and the sizes that follow from it. */
export class PoolSizing {
  readonly #options: SizingOptions;
  readonly #samples = new Map<string, Sample[]>();
  /** Since when each pool has had a surplus. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(options: SizingOptions) {
    this.#options = options;
  }

  /** Takes in the demand of all pools and returns the transfers that are due, spare pool apart. */
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
    const loans = lend(sizes, spareVms)
      .map(({ pool, vmCount }) => ({ fromPool: sparePool, toPool: pool, vmCount }));
    return [...loans, ...returns];
  }

  /**
   * The demand expected by the time that a move is over: the present trend, or what was asked for one
   * season ago around that time, whichever is more.
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
   * The VMs to give back. Keeping one for a time costs buffer, giving it back and fetching it again
   * costs two moves; so a surplus is kept for as long as the two moves would pay for (the break-even
   * rule of ski rental), which also keeps a pool from giving and taking in turn.
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

/** Shares the spare VMs: one at a time to the pool that lacks the largest part of its target. */
function lend(
  sizes: readonly { readonly pool: PoolDemand; readonly targetVms: number }[],
  spareVms: number,
): readonly { readonly pool: string; readonly vmCount: number }[] {
  const loans = new Map<string, number>();
  for (let left = spareVms; left > 0; left -= 1) {
    const lacks = sizes.map(({ pool, targetVms }) => {
      const sizeVms = pool.sizeVms + (loans.get(pool.pool) ?? 0);
      return { pool: pool.pool, ratio: (targetVms - sizeVms) / Math.max(1, targetVms) };
    });
    const neediest = lacks.reduce(
      (best, next) => next.ratio > best.ratio ? next : best,
      { pool: "", ratio: 0 },
    );
    if (neediest.ratio <= 0) {
      break;
    }
    loans.set(neediest.pool, (loans.get(neediest.pool) ?? 0) + 1);
  }
  return [...loans].map(([pool, vmCount]) => ({ pool, vmCount }));
}
