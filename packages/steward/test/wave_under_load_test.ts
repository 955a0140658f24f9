import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";

const { waitFor } = testing.waitFor;
const SEED = 29;
const AVAILABILITY_ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE = "sessions";
const TEAMS = { boards: { weight: 2 }, visitors: { weight: 1, maxRunningRequests: 3 } };
const LIMITS = { boards: 64, visitors: 3 };
const VM_COUNT = 6;
const MAX_UNAVAILABLE = 2;
const RUN_MS = 200;
const STORE_OUTAGE_MS = 6_000;
const LIMIT = { limitMs: 120_000 };
const WAVE = { pools: [SERVICE], state: "running" as const };

describe("a wave over all VMs of a pool under load", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: AVAILABILITY_ZONES,
    entryCount: 5,
    seed: SEED,
  });
  let config: schema.config.ConfigInput;
  let balancer: testing.balancer.Balancer;

  beforeAll(async () => {
    await system.start();
    config = await system.startBackendServers({
      ...testing.exampleConfig.exampleConfig({
        availabilityZones: AVAILABILITY_ZONES,
        services: [SERVICE],
        backendServersPerService: VM_COUNT,
        teams: TEAMS,
      }),
      availabilityBudgets: { sessions: { pool: SERVICE, maxUnavailable: MAX_UNAVAILABLE } },
    });
    await system.startFleet(config, { drainMs: 0, rebootMs: 1_000 });
    const { code, output } = await system.apply(config);
    expect(code, output).toBe(0);
    balancer = new testing.balancer.Balancer(system.entries);
  });

  afterAll(async () => {
    balancer?.stop();
    await system.stop();
  });

  async function eventsOf(kind: string): Promise<readonly testing.fleetModel.WitnessEvent[]> {
    return (await system.fleetEvents()).filter((event) => event.kind === kind);
  }

  async function waitForReturns(count: number): Promise<void> {
    const isReached = async () => (await eventsOf("return")).length >= count;
    await waitFor(`${count} returned VMs`, isReached, LIMIT);
  }

  /** The requests that ran while the platform had their VM out of service. */
  async function runsOnLeavingVms(): Promise<string[]> {
    const events = await system.fleetEvents();
    const found = await Promise.all([...system.backendServers.values()].map(async (server) => {
      const vm = config.backendServers![server.name]!.vm;
      const own = events.filter(({ subject }) => subject === vm);
      const outSinceMs = own.find(({ kind }) => kind === "drain")?.atMs ?? Infinity;
      const outUntilMs = own.find(({ kind }) => kind === "return")?.atMs ?? Infinity;
      const { runs } = await server.record();
      return runs.filter(({ startedAtMs, endedAtMs }) =>
        startedAtMs < outUntilMs && (endedAtMs ?? Infinity) > outSinceMs
      ).map(({ startedAtMs, path }) => `${vm} ${startedAtMs - outSinceMs} ms ${path}`);
    }));
    return found.flat();
  }

  it("cuts off no request although a steward is killed and the store fails midway", async () => {
    const settings = { leaseSeconds: 2 };
    const stewards = new Map<string, testing.processes.ChildProgram>();
    for (const id of ["steward-1", "steward-2", "steward-3"]) {
      stewards.set(id, await system.startSteward(id, settings));
    }
    const traffic = new testing.traffic.Traffic({
      entryUrls: system.entries.map(({ callerUrl }) => callerUrl),
      queues: [SERVICE],
      teams: testing.exampleConfig.exampleKeys(Object.keys(TEAMS)),
      loopsPerEntryAndTeam: 2,
      runMs: RUN_MS,
      deadlineMs: 20_000,
      seed: SEED,
      isReady: (entryUrl) => balancer.isReady(entryUrl),
    });
    traffic.start();
    await system.apply({ ...config, maintenanceWaves: { december: WAVE } });
    await waitForReturns(1);
    const acting = [...stewards.values()].find((program) =>
      program.linesWith("VM step").length > 0
    );
    await acting!.kill();
    await waitFor("marked VMs", () => {
      const entry = system.entries[0]!.program;
      return entry.linesWith("Draining VMs taken over").length >= 3;
    }, LIMIT);
    await system.setStoreFaults({ rules: [{ outage: "error" }] });
    await new Promise((resolve) => setTimeout(resolve, STORE_OUTAGE_MS));
    await system.setStoreFaults();
    await waitForReturns(VM_COUNT);
    const answers = await traffic.stop();
    const witness = await system.witness();
    expect(witness.violations(answers, { maxRunningByTeam: LIMITS })).toEqual([]);
    expect(answers.filter(({ answer }) => !["answered", "not-run"].includes(answer.outcome)))
      .toEqual(
        [],
      );
    expect(await runsOnLeavingVms()).toEqual([]);
    const drains = await eventsOf("drain");
    expect(drains.filter(({ notLive }) => notLive.length > MAX_UNAVAILABLE)).toEqual([]);
    const rebooted = (await eventsOf("reboot")).map(({ subject }) => subject);
    expect(new Set(rebooted).size).toBe(VM_COUNT);
    expect(rebooted).toHaveLength(VM_COUNT);
  }, 180_000);
});
