import { describe, expect, it } from "vitest";
import * as schema from "@jackdawlink/schema";
import * as budgets from "./budgets.ts";
import * as losses from "./losses.ts";
import * as taskIds from "./task_ids.ts";
import * as waveOrder from "./wave_order.ts";
import * as waveProgress from "./wave_progress.ts";

function location(vm: string, availabilityZone = "a", rack = "r1"): budgets.VmLocation {
  return { vm, availabilityZone, rack };
}

describe("checkBudget", () => {
  const perZone = { maxUnavailable: 3, maxUnavailablePerAvailabilityZone: 2 };
  const perRack = { maxUnavailable: 3, maxUnavailablePerRack: 1 };
  it.each([
    {
      name: "a pool below its limit",
      limits: { maxUnavailable: 2 },
      tokens: [location("b")],
      losses: [],
      limit: "",
    },
    {
      name: "a pool at its limit",
      limits: { maxUnavailable: 1 },
      tokens: [location("b")],
      losses: [],
      limit: "pool",
    },
    {
      name: "a pool at its limit because of an unplanned loss",
      limits: { maxUnavailable: 1 },
      tokens: [],
      losses: [location("b")],
      limit: "pool",
    },
    {
      name: "a lost VM that also holds a token",
      limits: { maxUnavailable: 2 },
      tokens: [location("b")],
      losses: [location("b")],
      limit: "",
    },
    {
      name: "an availability zone at its limit",
      limits: perZone,
      tokens: [location("b", "a", "r2"), location("c")],
      losses: [],
      limit: "availabilityZone",
    },
    {
      name: "a rack at its limit",
      limits: perRack,
      tokens: [location("b")],
      losses: [],
      limit: "rack",
    },
    {
      name: "a rack with the same name in another availability zone",
      limits: perRack,
      tokens: [location("b", "z")],
      losses: [],
      limit: "",
    },
  ])("checks $name", ({ limits, tokens, losses, limit }) => {
    const unavailable = budgets.unavailableVms(tokens, losses);
    const decision = budgets.checkBudget(limits, { candidate: location("x"), unavailable });
    expect(decision.allowed ? "" : decision.limit).toBe(limit);
  });
});

describe("isConfirmedLost", () => {
  const seen = { running: 0, rebooted: true };
  it.each(
    [
      { state: "down", operationId: "x.000000001", returned: true, known: true },
      { state: "leaving", operationId: "x.000000001", returned: false, known: false },
      { state: "down", operationId: "", returned: true, known: false },
      { state: "live", operationId: "x.000000001", returned: true, known: false },
    ] as const,
  )("distinguishes losses from stale lists: $state, $operationId", ({ known, ...listed }) => {
    const record = { vm: "x", operationCount: 1 };
    expect(losses.isConfirmedLost(record, { ...seen, ...listed })).toBe(known);
  });
});

describe("selectNextVms", () => {
  it("uses up the budget across racks, longest drains first", () => {
    const candidates = ["a1", "a2", "b1", "b2", "c1"].map((vm, index) => ({
      ...location(vm, "z", vm[0]),
      pool: "boards",
      expectedDrainMs: index,
    }));
    const limits = { maxUnavailable: 3, maxUnavailablePerRack: 1 };
    const pools = new Map([["boards", { limits, unavailable: [location("x", "z", "c")] }]]);
    const chosen = waveOrder.selectNextVms(candidates, pools).map(({ vm }) => vm);
    expect(chosen).toEqual(["b2", "a2"]);
  });

  it.each([1, 2, 3, 4, 5])("rolls out 40 VMs in 1.25 times the shortest time, seed %i", (seed) => {
    const vms = Array.from({ length: 40 }, (_, index) => ({
      ...location(`vm-${index}`, `z${index % 3}`, `r${index % 10}`),
      pool: "boards",
      expectedDrainMs: 60 + (index * 37 * seed) % 120,
    }));
    const limits = { maxUnavailable: 4, maxUnavailablePerRack: 1 };
    const out = new Map<string, { until: number; vm: waveOrder.WaveCandidate }>();
    let left = vms;
    let now = 0;
    while (left.length > 0 || out.size > 0) {
      const unavailable = [...out.values()].map(({ vm }) => vm);
      for (
        const vm of waveOrder.selectNextVms(left, new Map([["boards", { limits, unavailable }]]))
      ) {
        out.set(vm.vm, { until: now + vm.expectedDrainMs, vm });
        left = left.filter((each) => each !== vm);
      }
      now = Math.min(...[...out.values()].map(({ until }) => until));
      [...out].filter(([, { until }]) => until <= now).forEach(([vm]) => out.delete(vm));
    }
    const totalMs = vms.reduce((sum, vm) => sum + vm.expectedDrainMs, 0);
    const rackMs = Array.from(
      { length: 10 },
      (_, rack) =>
        vms.filter((vm) => vm.rack === `r${rack}`).reduce(
          (sum, vm) => sum + vm.expectedDrainMs,
          0,
        ),
    );
    const shortestMs = Math.max(totalMs / limits.maxUnavailable, ...rackMs);
    expect(now).toBeLessThanOrEqual(1.25 * shortestMs);
  });
});

describe("nextChange", () => {
  const wave = schema.config.emptyConfig().maintenanceWaves["x"] ??
    { pools: ["boards"], urgency: "normal", drainTimeoutMs: 1, vmMaintenanceMs: 10 } as const;
  const record = { wave: "x", run: 1, acknowledgedFailures: 0, startedAtMs: 0 };
  function vm(change: Partial<waveProgress.WaveVm>): waveProgress.WaveVm {
    return {
      ...location("v"),
      pool: "boards",
      result: undefined,
      isLost: false,
      isFailing: false,
      ...change,
    };
  }
  const failed = [vm({ vm: "p", result: "failed" }), vm({ vm: "q", isFailing: true }), vm({})];
  const done = [vm({ result: "done" }), vm({ result: "failed" })];
  const lost = [vm({ vm: "p", isLost: true }), vm({ vm: "q", isLost: true })];
  it.each([
    {
      name: "continues below the failure limit",
      vms: [vm({}), vm({ result: "failed" })],
      change: { kind: "none" },
    },
    { name: "finishes when the run has ended on all VMs", vms: done, change: { kind: "finish" } },
    {
      name: "pauses at the failure limit",
      vms: failed,
      change: { kind: "pause", by: "failures", reason: "2 VMs failed: p, q" },
    },
    {
      name: "ignores acknowledged failures",
      vms: failed,
      acknowledgedFailures: 2,
      change: { kind: "none" },
    },
    {
      name: "pauses when several VMs of a rack are lost",
      vms: lost,
      change: { kind: "pause", by: "failures", reason: "VMs p, q of rack a/r1 are lost" },
    },
    {
      name: "pauses when its budgets are too tight for its time limit",
      vms: [vm({}), vm({ vm: "w" })],
      finishWithinMs: 19,
      change: {
        kind: "pause",
        by: "infeasible",
        reason: "The availability budget of pool boards allows no roll-out in less than 20 ms",
      },
    },
    {
      name: "pauses when an operator pauses it",
      vms: [vm({})],
      state: "paused" as const,
      change: { kind: "pause", by: "operator", reason: "An operator set the wave to paused" },
    },
    {
      name: "stays paused after failures",
      vms: [vm({})],
      pausedBy: "failures" as const,
      change: { kind: "none" },
    },
    {
      name: "resumes when an operator sets it to running",
      vms: [vm({})],
      pausedBy: "operator" as const,
      change: { kind: "resume" },
    },
  ])("$name", ({ vms, change, finishWithinMs, state, pausedBy, acknowledgedFailures = 0 }) => {
    const decided = waveProgress.nextChange({
      wave: { ...wave, pauseAfterFailures: 2, finishWithinMs, state: state ?? "running" },
      record: {
        ...record,
        acknowledgedFailures,
        pausedBy,
        state: pausedBy === undefined ? "running" : "paused",
      },
      vms,
      limitsOf: () => ({ maxUnavailable: 1 }),
    });
    expect(decided).toEqual(change);
  });
});

describe("jobStateAfterAttempt", () => {
  it.each(
    [
      { end: "succeeded", repeatable: false, cancel: true, state: "succeeded" },
      { end: "failed", repeatable: false, cancel: false, state: "failed" },
      { end: "failed", repeatable: true, cancel: false, state: "waiting" },
      { end: "stopped", repeatable: true, cancel: true, state: "cancelled" },
      { end: "never-started", repeatable: false, cancel: false, state: "waiting" },
      { end: "never-started", repeatable: false, cancel: true, state: "cancelled" },
      { end: "checkpointed", repeatable: true, cancel: false, state: "waiting" },
      { end: "worker-lost", repeatable: false, cancel: false, state: "unknown" },
      { end: "worker-lost", repeatable: false, cancel: true, state: "unknown" },
      { end: "worker-lost", repeatable: true, cancel: false, state: "waiting" },
    ] as const,
  )("end $end, repeatable $repeatable, cancelled $cancel: $state", (row) => {
    const spec = {
      cores: 1,
      memoryMb: 1,
      accelerators: 0,
      runMs: 1,
      urgency: "normal",
      repeatable: row.repeatable,
      maxAttempts: 3,
    } as const;
    const job = { attempt: 1, spec, cancelRequested: row.cancel };
    expect(taskIds.jobStateAfterAttempt(job, row.end).state).toBe(row.state);
  });
});
