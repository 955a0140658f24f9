/**
 * Decides when a wave pauses, resumes and finishes, and whether it can finish in time under its
 * budgets.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as budgets from "./budgets.ts";

/** A change to the state of a wave. */
export type WaveChange =
  | { readonly kind: "none" }
  | {
    readonly kind: "pause";
    readonly by: "operator" | "failures" | "infeasible";
    readonly reason: string;
  }
  | { readonly kind: "resume" }
  | { readonly kind: "finish" };

/** The progress of a wave on a VM. */
export interface WaveVm extends budgets.VmLocation {
  readonly pool: string;
  /** Undefined until the wave's run has ended on the VM. */
  readonly result: "done" | "failed" | undefined;
  /** Whether the VM is an unplanned loss. */
  readonly isLost: boolean;
  /** Whether the operation in progress has already failed. */
  readonly isFailing: boolean;
}

/** The inputs of {@link nextChange}. */
export interface ProgressInput {
  readonly wave: schema.config.MaintenanceWave;
  readonly record: schema.fleet.WaveRecord;
  /** The VMs that currently belong to the pools of the wave. */
  readonly vms: readonly WaveVm[];
  readonly limitsOf: (pool: string) => budgets.BudgetLimits;
}

/** Decides the next state change of a wave. */
export function nextChange(input: ProgressInput): WaveChange {
  return STATE_HANDLERS[input.record.state](input);
}

/** The handlers by state of the wave. */
const STATE_HANDLERS: Readonly<
  Record<schema.fleet.WaveRecord["state"], (input: ProgressInput) => WaveChange>
> = {
  running: stepRunning,
  paused: stepPaused,
  finished: () => ({ kind: "none" }),
};

/** The VMs that count as failures of the wave, which the operator has to acknowledge. */
export function failedVms(vms: readonly WaveVm[]): readonly WaveVm[] {
  return vms.filter((vm) =>
    vm.result === "failed" || vm.isFailing || (vm.result === "done" && vm.isLost)
  );
}

function stepRunning({ wave, record, vms, limitsOf }: ProgressInput): WaveChange {
  if (wave.state !== "running") {
    return { kind: "pause", by: "operator", reason: `An operator set the wave to ${wave.state}` };
  }
  const reason = correlatedFailure(wave, { record, vms });
  if (reason !== undefined) {
    return { kind: "pause", by: "failures", reason };
  }
  if (vms.every((vm) => vm.result !== undefined)) {
    return { kind: "finish" };
  }
  const [infeasible] = infeasiblePools(wave, poolsOf(vms, limitsOf));
  const hasStarted = vms.some((vm) => vm.result !== undefined);
  if (infeasible !== undefined && !hasStarted) {
    const { pool, shortestMs } = infeasible;
    const reason =
      `The availability budget of pool ${pool} allows no roll-out in less than ${shortestMs} ms`;
    return { kind: "pause", by: "infeasible", reason };
  }
  return { kind: "none" };
}

/** The reason to pause: too many unacknowledged failures, or several VMs lost in one rack. */
function correlatedFailure(
  wave: schema.config.MaintenanceWave,
  { record, vms }: { record: schema.fleet.WaveRecord; vms: readonly WaveVm[] },
): string | undefined {
  const failures = failedVms(vms);
  if (failures.length - record.acknowledgedFailures >= wave.pauseAfterFailures) {
    return `${failures.length} VMs failed: ${failures.map((each) => each.vm).sort().join(", ")}`;
  }
  const lost = new Map<string, string[]>();
  for (const vm of vms.filter((each) => each.isLost)) {
    const rack = `${vm.availabilityZone}/${vm.rack}`;
    lost.set(rack, [...(lost.get(rack) ?? []), vm.vm]);
  }
  const rackLoss = [...lost].find(([, names]) =>
    names.length >= Math.max(2, wave.pauseAfterFailures)
  );
  return rackLoss && `VMs ${rackLoss[1].sort().join(", ")} of rack ${rackLoss[0]} are lost`;
}

/**
 * A wave that was paused automatically stays paused until an operator sets it to paused, which
 * acknowledges the failures. Setting it to running then resumes it.
 */
function stepPaused({ wave, record }: ProgressInput): WaveChange {
  if (record.pausedBy === "operator") {
    return wave.state === "running" ? { kind: "resume" } : { kind: "none" };
  }
  return wave.state === "running"
    ? { kind: "none" }
    : { kind: "pause", by: "operator", reason: record.reason ?? "An operator paused the wave" };
}

/** The VMs and the limits of each pool. */
function poolsOf(
  vms: readonly WaveVm[],
  limitsOf: (pool: string) => budgets.BudgetLimits,
): ReadonlyMap<string, { limits: budgets.BudgetLimits; vms: readonly budgets.VmLocation[] }> {
  const pools = new Map<string, { limits: budgets.BudgetLimits; vms: budgets.VmLocation[] }>();
  for (const vm of vms) {
    const pool = pools.get(vm.pool) ?? { limits: limitsOf(vm.pool), vms: [] };
    pool.vms.push(vm);
    pools.set(vm.pool, pool);
  }
  return pools;
}

/** The shortest time in which all VMs of a pool can be maintained under its limits. */
export function shortestRolloutMs(
  limits: budgets.BudgetLimits,
  { vms, vmMs }: { readonly vms: readonly budgets.VmLocation[]; readonly vmMs: number },
): number {
  const rounds = [
    Math.ceil(vms.length / limits.maxUnavailable),
    ...roundsOf(vms.map((vm) => vm.availabilityZone), limits.maxUnavailablePerAvailabilityZone),
    ...roundsOf(
      vms.map((vm) => `${vm.availabilityZone}/${vm.rack}`),
      limits.maxUnavailablePerRack,
    ),
  ];
  return Math.max(0, ...rounds) * vmMs;
}

/**
 * The pools whose budget is too tight for the wave's time limit, with their shortest rollout time.
 */
export function infeasiblePools(
  wave: schema.config.MaintenanceWave,
  pools: ReadonlyMap<
    string,
    { readonly limits: budgets.BudgetLimits; readonly vms: readonly budgets.VmLocation[] }
  >,
): readonly { readonly pool: string; readonly shortestMs: number }[] {
  const { finishWithinMs } = wave;
  if (finishWithinMs === undefined) {
    return [];
  }
  return [...pools]
    .map(([pool, { limits, vms }]) => ({
      pool,
      shortestMs: shortestRolloutMs(limits, { vms, vmMs: wave.vmMaintenanceMs }),
    }))
    .filter(({ shortestMs }) => shortestMs > finishWithinMs);
}

/** The number of rounds that each domain needs if at most `max` of its VMs may be unavailable. */
function roundsOf(domains: readonly string[], max: number | undefined): readonly number[] {
  if (max === undefined) {
    return [];
  }
  const counts = new Map<string, number>();
  for (const domain of domains) {
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return [...counts.values()].map((count) => Math.ceil(count / max));
}
