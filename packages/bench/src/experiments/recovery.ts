/**
 * Measures the time to full capacity after an entry is killed. In the baseline, an even fixed
 * split, the slots of the killed entry stay unused.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import * as loadProcess from "../load/load_process.ts";
import type * as fixedSplit from "../baselines/fixed_split.ts";

const SERVICE = "booking";
const TEAM = "renewals";
const BACKEND_SERVERS = 2;
const SLOTS = BACKEND_SERVERS * 8;
const RUN_MS = 100;
const MAX_RUN_MS = 1_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const OFFERED_LOAD_FACTOR = 2;
const KILL_AT_MS = 6_000;
const LOAD_MS = 26_000;
const BIN_MS = 250;
/** The fraction of the slot use before the kill that counts as full capacity. */
const RECOVERED_RATIO = 0.97;
/** The number of bins over which the mean use must reach that fraction. */
const SETTLED_BINS = 8;

/** Safety margins that the entries add for fences and for the end of unanswered runs. */
const FENCE_MARGIN_MS = 500;
const RUN_END_MARGIN_MS = 500;

type System = testing.testSystem.TestSystem;

export const recoveryExperiment: experiment.Experiment = {
  description: "Seconds to full capacity after an entry was killed",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      await publish(system);
      progress("loading, then killing one entry");
      const killed = killEntryAfterDelay(system, seed);
      const load = await loadProcess.runLoad(system, { streams: [streamOf(system, seed)] });
      const killedAtMs = await killed - load.startedAtWallMs;
      const runs = await experimentSystem.readSlotRuns(system, {
        service: SERVICE,
        sinceWallMs: load.startedAtWallMs,
      });
      return reportOf(runs, killedAtMs);
    }),
};

async function publish(system: System): Promise<void> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: [SERVICE],
    backendServersPerService: BACKEND_SERVERS,
    teams: { [TEAM]: { weight: 1 } },
  });
  const started = await system.startBackendServers({
    ...config,
    services: { [SERVICE]: { pool: SERVICE, maxRunMs: MAX_RUN_MS } },
    queues: { [SERVICE]: { service: SERVICE, maxWaitMs: MS_PER_SECOND } },
  });
  await experimentSystem.applyToAllEntries(system, started);
}

function streamOf(system: System, seed: number) {
  const ratePerSecond = SLOTS * MS_PER_SECOND / RUN_MS * OFFERED_LOAD_FACTOR;
  return {
    name: TEAM,
    seed,
    urls: experimentSystem.queueUrls(system.entries, {
      queue: SERVICE,
      path: `/work?runMs=${RUN_MS}`,
    }),
    headers: experimentSystem.authorizationHeader(TEAM),
    phases: [{ startMs: 0, endMs: LOAD_MS, ratePerSecond }],
  };
}

/** Kills the entry that the seed selects, and returns the wall clock time of the kill. */
async function killEntryAfterDelay(system: System, seed: number): Promise<number> {
  await new Promise((resolve) => setTimeout(resolve, KILL_AT_MS));
  const entry = system.entries[seed % system.entries.length]!;
  await entry.program.kill();
  return Date.now();
}

/** The upper bound, from the timing settings, until others use the permits of a killed entry. */
function recoveryBoundSeconds(): number {
  const timing = v.parse(schema.settings.timingSchema, {});
  const leaseMs = timing.memberLeaseSeconds * MS_PER_SECOND;
  const acceptanceMs = timing.headPollMs + timing.heartbeatMs;
  const quarantineMs = timing.freshForMs + FENCE_MARGIN_MS + MAX_RUN_MS + RUN_END_MARGIN_MS;
  return (leaseMs + timing.suspectAfterMs + acceptanceMs + quarantineMs) / MS_PER_SECOND;
}

function reportOf(
  runs: readonly fixedSplit.SlotRun[],
  killedAtMs: number,
): experiment.SeedReport {
  const used = meanUsedSlots(runs);
  const killedBin = Math.ceil(killedAtMs / BIN_MS);
  const before = mean(used.slice(killedBin - SETTLED_BINS * 2, killedBin - 1));
  const after = used.slice(killedBin);
  const isRecoveredFrom = (_: number, bin: number) =>
    bin + SETTLED_BINS <= after.length &&
    mean(after.slice(bin, bin + SETTLED_BINS)) >= before * RECOVERED_RATIO;
  const recoveredBin = after.findIndex(isRecoveredFrom);
  const seconds = recoveredBin < 0 ? Number.POSITIVE_INFINITY : recoveredBin * BIN_MS / 1_000;
  const lost = (1 - mean(after) / before) * PERCENT;
  return {
    figures: [
      {
        name: "time to full capacity",
        unit: "s",
        value: seconds,
        baseline: { name: "even fixed split", value: Number.POSITIVE_INFINITY },
        target: { kind: "atMost", value: recoveryBoundSeconds() },
      },
      {
        name: "least use of slots after the kill",
        unit: "%",
        value: Math.min(...after.slice(1)) / before * PERCENT,
      },
      {
        name: "slot time lost in 20 s after the kill",
        unit: "%",
        value: lost,
        baseline: {
          name: "even fixed split",
          value: PERCENT / experimentSystem.ENTRY_COUNT,
        },
      },
    ],
    plots: [{
      name: "slots",
      title: `Used slots; one of ${experimentSystem.ENTRY_COUNT} entries is killed`,
      xLabel: "s since the kill",
      yLabel: "slots in use",
      series: [{
        name: "jackdawlink",
        points: used.map((slots, bin) => [(bin * BIN_MS - killedAtMs) / MS_PER_SECOND, slots]),
      }],
    }],
  };
}

/** The mean number of slots in use in each bin of {@link BIN_MS}. */
function meanUsedSlots(runs: readonly fixedSplit.SlotRun[]): number[] {
  const usedMs = new Array<number>(Math.floor(LOAD_MS / BIN_MS)).fill(0);
  for (const { startedAtMs, endedAtMs } of runs) {
    for (let bin = Math.max(0, Math.floor(startedAtMs / BIN_MS)); bin < usedMs.length; bin += 1) {
      const overlapMs = Math.min(endedAtMs, (bin + 1) * BIN_MS) -
        Math.max(startedAtMs, bin * BIN_MS);
      if (overlapMs <= 0) break;
      usedMs[bin]! += overlapMs;
    }
  }
  return usedMs.map((ms) => ms / BIN_MS);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
