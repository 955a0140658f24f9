/**
 * When a wave pauses, resumes and ends, and whether it can end in time at all.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as budgets from "./budgets.ts";

/** A change of a wave's state. */
export type WaveChange =
  | { readonly kind: "none" }
  | {
    readonly kind: "pause";
    readonly by: "operator" | "failures" | "infeasible";
    readonly reason: string;
  }
  | { readonly kind: "resume" }
  | { readonly kind: "finish" };

/** A VM as the progress of a wave sees it. */
export interface WaveVm extends budgets.VmLocation {
  readonly pool: string;
  /** Absent while the run has not ended on the VM. */
  readonly result: "done" | "failed" | undefined;
  /** Whether the VM is out of service without a plan. */
  readonly isLost: boolean;
  /** Whether the operation in progress has failed already. */
  readonly isFailing: boolean;
}

/** What a wave's next state is decided from. */
export interface ProgressInput {
  readonly wave: schema.config.MaintenanceWave;
  readonly record: schema.fleet.WaveRecord;
  /** The VMs that belong to the pools of the wave now. */
  readonly vms: readonly WaveVm[];
  readonly limitsOf: (pool: string) => budgets.BudgetLimits;
}

/** The change of state that is due. */
export function nextChange(input: ProgressInput): WaveChange {
  return STATE_HANDLERS[input.record.state](input);
}

/** One handler for each state of a wave. */
const STATE_HANDLERS: Readonly<
  Record<schema.fleet.WaveRecord["state"], (input: ProgressInput) => WaveChange>
> = {
  running: stepRunning,
  paused: stepPaused,
  finished: () => ({ kind: "none" }),
};

/** The number of failures that a wave has met, for the operator to take note of. */
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

/** VMs that failed under the wave, or are lost in one rack. */
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
 * A wave that paused by itself waits until an operator has set it to paused, which takes note of the
 * failures; setting it to running then resumes it.
 */
function stepPaused({ wave, record }: ProgressInput): WaveChange {
  if (record.pausedBy === "operator") {
    return wave.state === "running" ? { kind: "resume" } : { kind: "none" };
  }
  return wave.state === "running"
    ? { kind: "none" }
    : { kind: "pause", by: "operator", reason: record.reason ?? "An operator paused the wave" };
}

/** The VMs of each pool with its limits. */
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

/** The shortest time in which the VMs of one pool can be maintained under its limits. */
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

/** The pools whose budget leaves too little time for a wave, each with the shortest time possible. */
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

/** The rounds that each domain needs when at most `max` of its VMs may be out. */
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
