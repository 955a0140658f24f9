/**
 * Checks of pools, availability budgets and maintenance waves.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { Finding } from "../findings.ts";
import * as waveProgress from "../fleet/wave_progress.ts";
import { error, type FindingLocation, groupBy, vmsOf, warning } from "./check.ts";

/** Checks that exactly one pool is the spare pool, which lends its VMs to the others. */
export function checkSparePool(config: schema.config.Config): readonly Finding[] {
  const sparePools = Object.entries(config.pools).filter(([, pool]) => pool.spare);
  const location = { kind: "pools", field: "spare", promise: "on-time" } as const;
  if (Object.keys(config.pools).length > 0 && sparePools.length === 0) {
    return [warning({ ...location, name: "" }, "no pool is the spare pool")];
  }
  return sparePools.slice(1).map(([name]) =>
    error({ ...location, name }, `pool "${sparePools[0]?.[0]}" is the spare pool already`)
  );
}

/** Checks that each pool has one availability budget, and that the budget protects the pool. */
export function checkBudgets(config: schema.config.Config): readonly Finding[] {
  const byPool = groupBy(
    Object.entries(config.availabilityBudgets),
    ([, budget]) => budget.pool,
  );
  const duplicates = [...byPool.values()].flatMap((budgets) =>
    budgets.slice(1).map(([name, { pool }]) =>
      error(
        budgetLocation(name, "pool"),
        `budget "${budgets[0]?.[0]}" is of the same pool "${pool}"`,
      )
    )
  );
  return [...duplicates, ...checkBudgetSizes(config), ...checkUnbudgetedPools(config)];
}

function checkBudgetSizes(config: schema.config.Config): readonly Finding[] {
  return Object.entries(config.availabilityBudgets).flatMap(([name, budget]) => {
    const vmCount = vmsOf(config, budget.pool).length;
    if (vmCount === 0 || budget.maxUnavailable < vmCount) return [];
    const message = `all ${vmCount} VMs of pool "${budget.pool}" may be unavailable at once`;
    return [warning(budgetLocation(name, "maxUnavailable"), message)];
  });
}

function checkUnbudgetedPools(config: schema.config.Config): readonly Finding[] {
  const poolsInWaves = new Set(
    Object.values(config.maintenanceWaves).flatMap((wave) => wave.pools),
  );
  return Object.keys(config.pools)
    .filter((pool) => budgetOf(config, pool) === undefined)
    .filter((pool) => !poolsInWaves.has(pool) && vmsOf(config, pool).length > 0)
    .map((name) =>
      warning(
        { kind: "pools", name, field: "", promise: "availability-budget" },
        "no availability budget protects it",
      )
    );
}

/**
 * Checks that the pools of a wave have budgets, that the wave has the time the budgets require, and
 * that its drain timeout lets every request finish.
 */
export function checkWaves(config: schema.config.Config): readonly Finding[] {
  return Object.entries(config.maintenanceWaves).flatMap(([name, wave]) => [
    ...checkWaveBudgets(config, { name, wave }),
    ...checkWaveTime(config, { name, wave }),
    ...checkWaveDrain(config, { name, wave }),
  ]);
}

/** Checks that no two running waves share a pool, as they would compete for its budget. */
export function checkRunningWaves(config: schema.config.Config): readonly Finding[] {
  const running = Object.entries(config.maintenanceWaves)
    .filter(([, wave]) => wave.state === "running")
    .flatMap(([name, wave]) => [...new Set(wave.pools)].map((pool) => ({ name, pool })));
  return [...groupBy(running, ({ pool }) => pool)].flatMap(([pool, waves]) =>
    waves.slice(1).map(({ name }) =>
      error(
        waveLocation(name, "state"),
        `wave "${waves[0]?.name}" runs in pool "${pool}" at the same time`,
      )
    )
  );
}

interface NamedWave {
  readonly name: string;
  readonly wave: schema.config.MaintenanceWave;
}

function checkWaveBudgets(
  config: schema.config.Config,
  { name, wave }: NamedWave,
): readonly Finding[] {
  return wave.pools
    .filter((pool) => Object.hasOwn(config.pools, pool) && budgetOf(config, pool) === undefined)
    .map((pool) => error(waveLocation(name, "pools"), `pool "${pool}" has no availability budget`));
}

function checkWaveTime(
  config: schema.config.Config,
  { name, wave }: NamedWave,
): readonly Finding[] {
  const { finishWithinMs } = wave;
  if (finishWithinMs === undefined) return [];
  const location: FindingLocation = { ...waveLocation(name, "finishWithinMs"), promise: "on-time" };
  return wave.pools.flatMap((pool) => {
    const shortestMs = shortestRollOutMs(config, { pool, vmMs: wave.vmMaintenanceMs });
    if (finishWithinMs >= shortestMs) return [];
    const message = `pool "${pool}" takes at least ${shortestMs} ms under its budget`;
    return [error(location, message)];
  });
}

function checkWaveDrain(
  config: schema.config.Config,
  { name, wave }: NamedWave,
): readonly Finding[] {
  const location: FindingLocation = {
    ...waveLocation(name, "drainTimeoutMs"),
    promise: "graceful-stop",
  };
  return Object.entries(config.services)
    .filter(([, service]) => wave.pools.includes(service.pool))
    .filter(([, service]) => service.maxRunMs > wave.drainTimeoutMs)
    .map(([service, { maxRunMs }]) =>
      error(location, `a request of service "${service}" may run for ${maxRunMs} ms`)
    );
}

/**
 * The shortest time a wave needs for a pool under its budget. Zero for a pool without a budget,
 * which `checkWaveBudgets` reports.
 */
function shortestRollOutMs(
  config: schema.config.Config,
  { pool, vmMs }: { pool: string; vmMs: number },
): number {
  const limits = budgetOf(config, pool);
  if (limits === undefined) return 0;
  return waveProgress.shortestRolloutMs(limits, { vms: vmsOf(config, pool), vmMs });
}

function budgetOf(
  config: schema.config.Config,
  pool: string,
): schema.config.AvailabilityBudget | undefined {
  return Object.values(config.availabilityBudgets).find((budget) => budget.pool === pool);
}

function budgetLocation(name: string, field: string): FindingLocation {
  return { kind: "availabilityBudgets", name, field, promise: "availability-budget" };
}

function waveLocation(name: string, field: string): FindingLocation {
  return { kind: "maintenanceWaves", name, field, promise: "availability-budget" };
}
