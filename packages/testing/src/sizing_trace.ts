/**
 * A periodic trace of pool demand, and its simulation with dynamically sized or fixed pools.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";

const MINUTE_MS = 60_000;
export const MEAN_VMS = 8;
const POOL_COUNT = 5;
const PEAK_MINUTES = 24;
const DAY_MINUTES = PEAK_MINUTES * POOL_COUNT;
export const COSTS = { bufferPerVmHour: 1, shortagePerVmHour: 20, perMove: 0.1 };

/** The pools peak in turn at five times the mean demand and drop to a twentieth of it in between. */
function demandAt(pool: number, { minute, seed }: { minute: number; seed: number }): number {
  const phase = (minute + seed * 7) % DAY_MINUTES - pool * PEAK_MINUTES;
  if (phase < 0 || phase >= PEAK_MINUTES) {
    return MEAN_VMS / 20;
  }
  const ramp = Math.min(1, (phase + 1) / 4, (PEAK_MINUTES - phase) / 4);
  return MEAN_VMS * 5 * ramp;
}

/** Totals of a simulation. */
export interface Outcome {
  readonly bufferVmMinutes: number;
  readonly shortageVmMinutes: number;
  readonly moves: number;
  /** Shortage on the second day, when the sizing has seen one season. */
  readonly secondDayShortageVmMinutes: number;
}

/** Simulates two days. A moving VM serves in neither pool for two minutes. */
export function simulate(seed: number, fixedVms?: number): Outcome {
  const poolSizing = new policy.fleet.sizing.PoolSizing({
    costs: COSTS,
    moveMs: 2 * MINUTE_MS,
    seasonMs: DAY_MINUTES * MINUTE_MS,
  });
  const sizes = Array.from({ length: POOL_COUNT }, () => fixedVms ?? MEAN_VMS);
  let spareVms = MEAN_VMS * 6;
  const arriving: { minute: number; pool: number; vmCount: number }[] = [];
  const outcome = {
    bufferVmMinutes: 0,
    shortageVmMinutes: 0,
    moves: 0,
    secondDayShortageVmMinutes: 0,
  };
  for (let minute = 0; minute < 2 * DAY_MINUTES; minute += 1) {
    for (const each of arriving.filter((arrival) => arrival.minute === minute)) {
      if (each.pool < 0) {
        spareVms += each.vmCount;
      } else {
        sizes[each.pool] = (sizes[each.pool] ?? 0) + each.vmCount;
      }
    }
    outcome.bufferVmMinutes += fixedVms === undefined ? spareVms : 0;
    const demands = sizes.map((_, pool) => demandAt(pool, { minute, seed }));
    demands.forEach((demand, pool) => {
      const size = sizes[pool] ?? 0;
      outcome.bufferVmMinutes += Math.max(0, size - demand);
      outcome.shortageVmMinutes += Math.max(0, demand - size);
      if (minute >= DAY_MINUTES) {
        outcome.secondDayShortageVmMinutes += Math.max(0, demand - size);
      }
    });
    if (fixedVms !== undefined) {
      continue;
    }
    const pools = sizes.map((sizeVms, pool) => {
      const inbound = arriving
        .filter((each) => each.minute > minute && each.pool === pool)
        .reduce((sum, each) => sum + each.vmCount, 0);
      const demandVms = demands[pool] ?? 0;
      return { pool: `pool-${pool}`, demandVms, sizeVms: sizeVms + inbound, minVms: 1 };
    });
    const transfers = poolSizing.decide(pools, {
      sparePool: "spare",
      spareVms,
      nowMs: minute * MINUTE_MS,
    });
    for (const { fromPool, toPool, vmCount } of transfers) {
      const from = Number(fromPool.split("-")[1] ?? -1);
      const to = Number(toPool.split("-")[1] ?? -1);
      if (from < 0) {
        spareVms -= vmCount;
      } else {
        sizes[from] = (sizes[from] ?? 0) - vmCount;
      }
      arriving.push({ minute: minute + 2, pool: to, vmCount });
      outcome.moves += vmCount;
    }
  }
  return outcome;
}
