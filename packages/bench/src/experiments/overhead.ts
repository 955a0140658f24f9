/**
 * Measures the latency that an entry adds to a direct connection, and the throughput of one entry.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import { LatencyHistogram } from "../load/latency_histogram.ts";
import * as loadProcess from "../load/load_process.ts";
import type * as loadSpec from "../load/load_spec.ts";

const TEAM = "renewals";
const SLOTS = 8;
const MS_PER_SECOND = 1_000;

/** A service and its number of backend servers; its load is half of what their slots can run. */
interface ServiceSize {
  readonly service: string;
  readonly backendServers: number;
  readonly runMs: number;
}

/**
 * The first service is as large as those of the first users; the second has few slots for nine
 * entries.
 */
const SIZES: readonly ServiceSize[] = [
  { service: "booking", backendServers: 8, runMs: 40 },
  { service: "packs", backendServers: 2, runMs: 20 },
];
const MAX_OVERHEAD_P99_MS: experiment.Target = { kind: "atMost", value: 3 };

/** Direct requests and requests through entries alternate, so that machine noise affects both. */
const TURNS_PER_TARGET = 3;
const TURN_MS = 4_000;
const WARM_UP_MS = 2_000;
const LOOP_MS = 5_000;
const LOOP_CONCURRENCY = 32;

type System = testing.testSystem.TestSystem;

export const overheadExperiment: experiment.Experiment = {
  description: "Latency added to a direct connection at half load, and requests per second",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      await publish(system);
      const reports: experiment.SeedReport[] = [];
      for (const size of SIZES) {
        progress(`half load on ${slotsOf(size)} slots, direct and by entries in turn`);
        const load = await loadProcess.runLoad(system, {
          streams: alternatingStreams(size, { system, seed }),
        });
        reports.push(latencyReport(size, load));
      }
      progress("one entry in a closed loop, then a direct connection");
      const highest = await loadProcess.runLoad(system, { loops: closedLoops(system) });
      return {
        figures: [...reports.flatMap(({ figures }) => figures), highestRateFigure(highest)],
        plots: reports.flatMap(({ plots = [] }) => plots),
      };
    }),
};

async function publish(system: System): Promise<void> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: SIZES.map(({ service }) => service),
    backendServersPerService: Math.max(...SIZES.map(({ backendServers }) => backendServers)),
    teams: { [TEAM]: { weight: 1, maxRunningRequests: Math.max(...SIZES.map(slotsOf)) } },
  });
  const backendServers = Object.fromEntries(
    SIZES.flatMap(({ service, backendServers: count }) =>
      Object.entries(config.backendServers!)
        .filter(([, server]) => server.service === service)
        .slice(0, count)
    ),
  );
  const started = await system.startBackendServers({ ...config, backendServers });
  await experimentSystem.applyToAllEntries(system, started);
}

function slotsOf({ backendServers }: ServiceSize): number {
  return backendServers * SLOTS;
}

function halfLoadPerSecond(size: ServiceSize): number {
  return slotsOf(size) * MS_PER_SECOND / size.runMs / 2;
}

function directUrls(system: System, service: string): string[] {
  return [...system.backendServers.values()]
    .filter(({ name }) => name.startsWith(`${service}-`))
    .map(({ address }) => `http://${address}/work`);
}

function alternatingStreams(
  size: ServiceSize,
  { system, seed }: { system: System; seed: number },
): loadSpec.StreamInput[] {
  const ratePerSecond = halfLoadPerSecond(size);
  const targets = [
    { name: "direct", urls: directUrls(system, size.service), headers: {} },
    {
      name: "entries",
      urls: experimentSystem.queueUrls(system.entries, { queue: size.service }),
      headers: experimentSystem.authorizationHeader(TEAM),
    },
  ];
  return targets.map((target, index) => ({
    ...target,
    urls: target.urls.map((url) => `${url}?runMs=${size.runMs}`),
    seed,
    phases: [
      { startMs: 0, endMs: WARM_UP_MS, ratePerSecond: ratePerSecond / targets.length },
      ...Array.from({ length: TURNS_PER_TARGET }, (_, turn) => {
        const startMs = WARM_UP_MS + (turn * targets.length + index) * TURN_MS;
        return { startMs, endMs: startMs + TURN_MS, ratePerSecond };
      }),
    ],
  }));
}

/**
 * Closed loops of requests without work: first through one entry, then directly to backend servers.
 */
function closedLoops(system: System): loadSpec.Loop[] {
  const { service } = SIZES[0]!;
  const entryUrls = experimentSystem.queueUrls(system.entries.slice(0, 1), { queue: service });
  const loops = [
    { name: "entries", urls: entryUrls, headers: experimentSystem.authorizationHeader(TEAM) },
    { name: "direct", urls: directUrls(system, service), headers: {} },
  ];
  return loops.map((loop, index) => ({
    ...loop,
    urls: loop.urls.map((url) => `${url}?runMs=0`),
    concurrency: LOOP_CONCURRENCY,
    startMs: index * LOOP_MS,
    endMs: (index + 1) * LOOP_MS,
  }));
}

function latencyReport(size: ServiceSize, load: loadSpec.LoadResult): experiment.SeedReport {
  const direct = latencyHistogramOf(load, "direct");
  const entries = latencyHistogramOf(load, "entries");
  const label = `${slotsOf(size)} slots`;
  const addedMs = (percentile: number) =>
    entries.percentileMs(percentile) - direct.percentileMs(percentile);
  const refused =
    load.requests.filter(({ name, outcome }) => name === "entries" && outcome !== "answered")
      .length;
  return {
    figures: [
      { name: `${label}: added latency p50`, unit: "ms", value: addedMs(50) },
      {
        name: `${label}: added latency p99`,
        unit: "ms",
        value: addedMs(99),
        target: MAX_OVERHEAD_P99_MS,
      },
      baselineFigure(`${label}: latency p50`, { percentile: 50, entries, direct }),
      baselineFigure(`${label}: latency p99`, { percentile: 99, entries, direct }),
      { name: `${label}: not answered`, unit: "requests", value: refused },
    ],
    plots: [{
      name: size.service,
      title: `Latency at ${
        halfLoadPerSecond(size)
      }/s, half load of ${label}, runs ${size.runMs} ms`,
      xLabel: "percentile",
      yLabel: "latency, ms",
      series: [
        { name: "by entries", points: entries.percentileCurve() },
        { name: "direct", points: direct.percentileCurve() },
      ],
    }],
  };
}

function highestRateFigure(load: loadSpec.LoadResult): experiment.Figure {
  return {
    name: "requests per second of one entry",
    unit: "/s",
    value: ratePerSecond(load, "entries"),
    baseline: { name: "direct", value: ratePerSecond(load, "direct") },
  };
}

function baselineFigure(
  name: string,
  { percentile, entries, direct }: {
    percentile: number;
    entries: LatencyHistogram;
    direct: LatencyHistogram;
  },
): experiment.Figure {
  return {
    name,
    unit: "ms",
    value: entries.percentileMs(percentile),
    baseline: { name: "direct", value: direct.percentileMs(percentile) },
  };
}

function latencyHistogramOf({ requests }: loadSpec.LoadResult, name: string): LatencyHistogram {
  const measured = requests.filter((request) =>
    request.name === name && request.intendedAtMs >= WARM_UP_MS
  );
  return new LatencyHistogram(measured.map(({ latencyMs }) => latencyMs));
}

function ratePerSecond({ requests }: loadSpec.LoadResult, name: string): number {
  const answered = requests.filter((request) => request.name === name && request.status === 200);
  return answered.length * MS_PER_SECOND / LOOP_MS;
}
