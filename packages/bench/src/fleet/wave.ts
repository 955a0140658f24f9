/**
 * Simulates the rollout of a wave over 40 VMs with the order and the availability budgets of the
 * policy.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as experiment from "../experiment.ts";
import * as testing from "@jackdawlink/testing";

const VM_COUNT = 40;
const ZONE_COUNT = 4;
const RACK_COUNT = 10;
const LIMITS: policy.fleet.budgets.BudgetLimits = {
  maxUnavailable: 4,
  maxUnavailablePerAvailabilityZone: 2,
  maxUnavailablePerRack: 1,
};
const MAX_RUNNING = 8;
const DRAIN_MS_PER_REQUEST = 4_000;
const REBOOT_MS = { from: 60_000, to: 120_000 };
/**
 * The time that a steward adds to each VM: the settle time, and four phases of one round plus the
 * delay of the VM list.
 */
const OVERHEAD_MS = 4_000 + 4 * (500 + 500);
const TARGET_RATIO = 1.25;
const MS_PER_SECOND = 1_000;
const POOL = "boards";

interface Vm extends policy.fleet.waveOrder.WaveCandidate {
  /** Drain and reboot, without the overhead of the steward. */
  readonly maintenanceMs: number;
}

export const waveExperiment: experiment.Experiment = {
  description:
    "Roll-out time of a wave over 40 VMs, against the shortest possible and serial waves",
  runSeed: ({ seed }) => {
    const vms = makeVms(new testing.seededRandom.SeededRandom(seed));
    const shortestMs = lowerBoundMs(vms);
    const rollOutMs = simulateRollout(vms);
    const serialMs = totalMaintenanceMs(vms) + VM_COUNT * OVERHEAD_MS;
    const figures: experiment.Figure[] = [
      {
        name: "roll-out time, relative to the shortest that the budgets allow",
        unit: "x",
        value: rollOutMs / shortestMs,
        baseline: { name: "one VM after another", value: serialMs / shortestMs },
        target: { kind: "atMost", value: TARGET_RATIO },
      },
      { name: "roll-out time", unit: "s", value: rollOutMs / MS_PER_SECOND },
      { name: "shortest time", unit: "s", value: shortestMs / MS_PER_SECOND },
    ];
    return Promise.resolve({ figures });
  },
};

/**
 * The policy knows the number of running requests, but not their duration or that of the reboot.
 */
function makeVms(random: testing.seededRandom.SeededRandom): readonly Vm[] {
  return Array.from({ length: VM_COUNT }, (_, index) => {
    const running = random.between(0, MAX_RUNNING);
    const drainMs = running * DRAIN_MS_PER_REQUEST * random.factor();
    return {
      vm: `vm-${index}`,
      availabilityZone: `zone-${index % RACK_COUNT % ZONE_COUNT}`,
      rack: `rack-${index % RACK_COUNT}`,
      pool: POOL,
      expectedDrainMs: running,
      maintenanceMs: drainMs + random.between(REBOOT_MS.from, REBOOT_MS.to),
    };
  });
}

/**
 * A lower bound for any order: the total maintenance time of the pool, an availability zone or a
 * rack, divided by the number of VMs that its budget allows to be unavailable.
 */
function lowerBoundMs(vms: readonly Vm[]): number {
  const { maxUnavailable, maxUnavailablePerAvailabilityZone = 1, maxUnavailablePerRack = 1 } =
    LIMITS;
  const lowerBoundsByGroup = (keyOf: (vm: Vm) => string, maxConcurrent: number) =>
    [...new Set(vms.map(keyOf))].map((key) =>
      totalMaintenanceMs(vms.filter((vm) => keyOf(vm) === key)) / maxConcurrent
    );
  return Math.max(
    totalMaintenanceMs(vms) / maxUnavailable,
    ...lowerBoundsByGroup((vm) => vm.availabilityZone, maxUnavailablePerAvailabilityZone),
    ...lowerBoundsByGroup((vm) => vm.rack, maxUnavailablePerRack),
  );
}

/** Simulates the wave: whenever a VM is available again, the policy selects the next ones. */
function simulateRollout(vms: readonly Vm[]): number {
  const byName = new Map(vms.map((vm) => [vm.vm, vm]));
  const unavailableUntilMs = new Map<string, number>();
  let remaining = vms;
  let nowMs = 0;
  while (remaining.length > 0 || unavailableUntilMs.size > 0) {
    const unavailable = [...unavailableUntilMs.keys()].map((vm) => byName.get(vm)!);
    const pools = new Map([[POOL, { limits: LIMITS, unavailable }]]);
    const chosen = new Set(
      policy.fleet.waveOrder.selectNextVms(remaining, pools).map(({ vm }) => vm),
    );
    for (const vm of chosen) {
      unavailableUntilMs.set(vm, nowMs + OVERHEAD_MS + byName.get(vm)!.maintenanceMs);
    }
    remaining = remaining.filter(({ vm }) => !chosen.has(vm));
    nowMs = Math.min(...unavailableUntilMs.values());
    for (const [vm, untilMs] of unavailableUntilMs) {
      if (untilMs <= nowMs) unavailableUntilMs.delete(vm);
    }
  }
  return nowMs;
}

function totalMaintenanceMs(vms: readonly Vm[]): number {
  return vms.reduce((sum, vm) => sum + vm.maintenanceMs, 0);
}
