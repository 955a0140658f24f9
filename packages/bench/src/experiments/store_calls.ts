/**
 * Counts calls to the platform store while idle, under load, during configuration changes, and for
 * requests with idempotency keys.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import * as loadProcess from "../load/load_process.ts";

const SERVICE = "booking";
const TEAM = "renewals";
const PHASE_MS = 8_000;
const MS_PER_SECOND = 1_000;
const LOW_RATE_PER_SECOND = 100;
const HIGH_RATE_PER_SECOND = 400;
const CHANGES = 5;
/** Call rates of the same load vary by up to this much. */
const MAX_NOISE_CALLS_PER_SECOND = 2;
const RUN_MS = 10;

type System = testing.testSystem.TestSystem;

/** Store calls by kind: a count, or a rate after {@link divideCalls}. */
interface Calls {
  readonly reads: number;
  readonly writes: number;
  readonly leases: number;
  readonly watches: number;
}

export const storeCallsExperiment: experiment.Experiment = {
  description: "Store calls per second: idle, under load, per change, and with idempotency keys",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      const config = await publish(system);
      const load = (ratePerSecond: number, withIdempotencyKeys: boolean) =>
        callsPerSecond(
          system,
          () => sendLoad(system, { ratePerSecond, withIdempotencyKeys, seed }),
        );
      progress("idle");
      const idle = await callsPerSecond(system, () => pause(PHASE_MS));
      progress("requests without idempotency keys");
      const low = await load(LOW_RATE_PER_SECOND, false);
      const high = await load(HIGH_RATE_PER_SECOND, false);
      progress("requests with idempotency keys");
      const keyed = await load(HIGH_RATE_PER_SECOND, true);
      progress("changes of the configuration");
      const changes = await countCalls(system, () => changeConfig(system, config));
      return { figures: figuresOf({ idle, low, high, keyed, changes }) };
    }),
};

async function publish(system: System): Promise<schema.config.ConfigInput> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: [SERVICE],
    backendServersPerService: 4,
    teams: { [TEAM]: { weight: 1 } },
  });
  const started = await system.startBackendServers(config);
  await experimentSystem.applyToAllEntries(system, started);
  return started;
}

async function sendLoad(
  system: System,
  { ratePerSecond, withIdempotencyKeys, seed }: {
    ratePerSecond: number;
    withIdempotencyKeys: boolean;
    seed: number;
  },
): Promise<void> {
  const path = `/work?runMs=${RUN_MS}`;
  await loadProcess.runLoad(system, {
    streams: [{
      name: TEAM,
      seed,
      urls: experimentSystem.queueUrls(system.entries, { queue: SERVICE, path }),
      headers: experimentSystem.authorizationHeader(TEAM),
      phases: [{ startMs: 0, endMs: PHASE_MS, ratePerSecond }],
      withIdempotencyKeys,
    }],
  });
}

async function changeConfig(system: System, config: schema.config.ConfigInput): Promise<void> {
  for (let change = 1; change <= CHANGES; change += 1) {
    const queues = { [SERVICE]: { service: SERVICE, maxWaiting: 1_000 + change } };
    await experimentSystem.applyToAllEntries(system, { ...config, queues });
  }
}

async function callsPerSecond(system: System, during: () => Promise<void>): Promise<Calls> {
  const startMs = performance.now();
  const calls = await countCalls(system, during);
  return divideCalls(calls, (performance.now() - startMs) / MS_PER_SECOND);
}

/** The calls that the store counted while `during` ran. */
async function countCalls(system: System, during: () => Promise<void>): Promise<Calls> {
  await fetch(`${system.platformUrl}/control/counters/reset`, { method: "POST" });
  await during();
  const answer = await fetch(`${system.platformUrl}/control/counters`);
  const { byKind } = await answer.json() as testing.platformStore.Counters;
  return { reads: byKind.read, writes: byKind.write, leases: byKind.lease, watches: byKind.watch };
}

function divideCalls(calls: Calls, units: number): Calls {
  return {
    reads: calls.reads / units,
    writes: calls.writes / units,
    leases: calls.leases / units,
    watches: calls.watches / units,
  };
}

function figuresOf(
  { idle, low, high, keyed, changes }: Record<"idle" | "low" | "high" | "keyed" | "changes", Calls>,
): experiment.Figure[] {
  const noiseTarget: experiment.Target = { kind: "atMost", value: MAX_NOISE_CALLS_PER_SECOND };
  const keyedWrites = keyed.writes - idle.writes;
  return [
    { name: "idle: reads", unit: "/s", value: idle.reads },
    { name: "idle: writes", unit: "/s", value: idle.writes },
    { name: "idle: lease calls", unit: "/s", value: idle.leases },
    { name: "idle: new watches", unit: "/s", value: idle.watches },
    {
      name: `added by ${LOW_RATE_PER_SECOND} requests a second`,
      unit: "/s",
      value: totalCalls(low) - totalCalls(idle),
      baseline: { name: "one call for each request", value: LOW_RATE_PER_SECOND },
      target: noiseTarget,
    },
    {
      name: `added by ${HIGH_RATE_PER_SECOND} requests a second`,
      unit: "/s",
      value: totalCalls(high) - totalCalls(idle),
      baseline: { name: "one call for each request", value: HIGH_RATE_PER_SECOND },
      target: noiseTarget,
    },
    {
      name: `writes added by ${HIGH_RATE_PER_SECOND} requests a second with idempotency keys`,
      unit: "/s",
      value: keyedWrites,
      baseline: { name: "one write for each request", value: HIGH_RATE_PER_SECOND },
    },
    {
      name: "calls per change, the command and the wait included",
      unit: "calls",
      value: totalCalls(changes) / CHANGES,
    },
    { name: "writes per change", unit: "calls", value: changes.writes / CHANGES },
  ];
}

function totalCalls({ reads, writes, leases, watches }: Calls): number {
  return reads + writes + leases + watches;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
