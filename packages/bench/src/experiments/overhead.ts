/**
 * What the path through an entry adds to a direct connection, and how many requests one entry serves.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import { Latencies } from "../load/latencies.ts";
import * as loadProcess from "../load/load_process.ts";
import type * as loadSpec from "../load/load_spec.ts";

const SERVICE = "booking";
const TEAM = "renewals";
const BACKEND_SERVERS = 2;
const SLOTS = 8;
const RUN_MS = 20;
const MS_PER_SECOND = 1_000;
/** Half of what the slots can run. */
const HALF_LOAD_PER_SECOND = BACKEND_SERVERS * SLOTS * MS_PER_SECOND / RUN_MS / 2;
const MAX_OVERHEAD_P99_MS: experiment.Target = { kind: "atMost", value: 3 };

/** Direct requests and requests by entries take turns, so that noise of the machine hits both. */
const TURNS = 3;
const TURN_MS = 4_000;
const WARM_UP_MS = 2_000;
const LOOP_MS = 5_000;
const LOOP_CONCURRENCY = 32;

type System = testing.testSystem.TestSystem;

export const overheadExperiment: experiment.Experiment = {
  description: "Latency added to a direct connection at half load, and requests per second",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withSystem({ seed }, async (system) => {
      await publish(system);
      progress("half load, direct and by entries in turn");
      const half = await loadProcess.runLoad(system, { streams: turnsOf(system, seed) });
      progress("one entry in a closed loop, then a direct connection");
      const highest = await loadProcess.runLoad(system, { loops: loopsOf(system) });
      return reportOf(half, highest);
    }),
};

async function publish(system: System): Promise<void> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: [SERVICE],
    backendServersPerService: BACKEND_SERVERS,
    teams: { [TEAM]: { weight: 1, maxRunningRequests: BACKEND_SERVERS * SLOTS } },
  });
  const started = await system.startBackendServers(config);
  await experimentSystem.applyEverywhere(system, started);
}

function directUrls(system: System): string[] {
  return [...system.backendServers.values()].map(({ address }) => `http://${address}/work`);
}

function turnsOf(system: System, seed: number): loadSpec.StreamInput[] {
  const ways = [
    { name: "direct", urls: directUrls(system), headers: {} },
    {
      name: "entries",
      urls: experimentSystem.queueUrls(system.entries, { queue: SERVICE }),
      headers: experimentSystem.keyHeader(TEAM),
    },
  ];
  return ways.map((way, index) => ({
    ...way,
    urls: way.urls.map((url) => `${url}?runMs=${RUN_MS}`),
    seed,
    phases: [
      { startMs: 0, endMs: WARM_UP_MS, ratePerSecond: HALF_LOAD_PER_SECOND / ways.length },
      ...Array.from({ length: TURNS }, (_, turn) => {
        const startMs = WARM_UP_MS + (turn * ways.length + index) * TURN_MS;
        return { startMs, endMs: startMs + TURN_MS, ratePerSecond: HALF_LOAD_PER_SECOND };
      }),
    ],
  }));
}

/** Requests without work, one entry first, then the backend servers without it. */
function loopsOf(system: System): loadSpec.Loop[] {
  const entryUrls = experimentSystem.queueUrls(system.entries.slice(0, 1), { queue: SERVICE });
  const loops = [
    { name: "entries", urls: entryUrls, headers: experimentSystem.keyHeader(TEAM) },
    { name: "direct", urls: directUrls(system), headers: {} },
  ];
  return loops.map((loop, index) => ({
    ...loop,
    urls: loop.urls.map((url) => `${url}?runMs=0`),
    concurrency: LOOP_CONCURRENCY,
    startMs: index * LOOP_MS,
    endMs: (index + 1) * LOOP_MS,
  }));
}

function reportOf(half: loadSpec.LoadResult, highest: loadSpec.LoadResult): experiment.SeedReport {
  const direct = latenciesOf(half, "direct");
  const entries = latenciesOf(half, "entries");
  const addedMs = (percentile: number) =>
    entries.percentileMs(percentile) - direct.percentileMs(percentile);
  const refused =
    half.requests.filter(({ name, outcome }) => name === "entries" && outcome !== "answered")
      .length;
  return {
    figures: [
      { name: "added latency p50", unit: "ms", value: addedMs(50) },
      { name: "added latency p99", unit: "ms", value: addedMs(99), target: MAX_OVERHEAD_P99_MS },
      baselineFigure("latency p50", { percentile: 50, entries, direct }),
      baselineFigure("latency p99", { percentile: 99, entries, direct }),
      { name: "not answered at half load", unit: "requests", value: refused },
      {
        name: "requests per second of one entry",
        unit: "/s",
        value: ratePerSecond(highest, "entries"),
        baseline: { name: "direct", value: ratePerSecond(highest, "direct") },
      },
    ],
    plots: [{
      name: "latency",
      title: `Latency at half load (${HALF_LOAD_PER_SECOND}/s, runs of ${RUN_MS} ms)`,
      xLabel: "percentile",
      yLabel: "latency, ms",
      series: [
        { name: "by entries", points: entries.curve() },
        { name: "direct", points: direct.curve() },
      ],
    }],
  };
}

function baselineFigure(
  name: string,
  { percentile, entries, direct }: { percentile: number; entries: Latencies; direct: Latencies },
): experiment.Figure {
  return {
    name,
    unit: "ms",
    value: entries.percentileMs(percentile),
    baseline: { name: "direct", value: direct.percentileMs(percentile) },
  };
}

function latenciesOf({ requests }: loadSpec.LoadResult, name: string): Latencies {
  const measured = requests.filter((request) =>
    request.name === name && request.intendedAtMs >= WARM_UP_MS
  );
  return new Latencies(measured.map(({ latencyMs }) => latencyMs));
}

function ratePerSecond({ requests }: loadSpec.LoadResult, name: string): number {
  const answered = requests.filter((request) => request.name === name && request.status === 200);
  return answered.length * MS_PER_SECOND / LOOP_MS;
}
