/**
 * Measures how far teams deviate from their weighted shares under uneven load. The baseline is an
 * even fixed split of the slots over the entries.
 *
 * @module
 */
import * as testing from "@jackdawlink/testing";
import * as fixedSplit from "../baselines/fixed_split.ts";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import * as arrivals from "../load/arrivals.ts";
import * as loadProcess from "../load/load_process.ts";
import type * as loadSpec from "../load/load_spec.ts";
import * as shareWindows from "../share_windows.ts";
import * as shareCases from "./share_cases.ts";

const MAX_DEVIATION: experiment.Target = { kind: "atMost", value: 3 };
const MAX_WAIT_MS = 3_000;
const BACKEND_SERVERS_PER_SERVICE = 2;
const PERCENT = 100;
const SEED_STEP = 1_000;

type System = testing.testSystem.TestSystem;

/** A team's request stream, and the indexes of the entries that receive it. */
interface TeamStream {
  readonly team: string;
  readonly entries: readonly number[];
  readonly stream: loadSpec.Stream;
}

export const shareExperiment: experiment.Experiment = {
  description: "Distance of full teams from their weighted shares, with uneven callers",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      await publish(system);
      progress("loading three services at once");
      const streams = new Map(
        shareCases.SHARE_CASES.map((shareCase) => [
          shareCase.service,
          streamsOf(shareCase, { system, seed }),
        ]),
      );
      const load = await loadProcess.runLoad(system, {
        streams: [...streams.values()].flat().map(({ stream }) => stream),
      });
      const reports = await Promise.all(shareCases.SHARE_CASES.map(async (shareCase) => {
        const { service } = shareCase;
        const sinceWallMs = load.startedAtWallMs;
        const runs = await experimentSystem.readSlotRuns(system, { service, sinceWallMs });
        return reportOf(shareCase, { runs, baselineRuns: simulateBaseline(streams.get(service)!) });
      }));
      return {
        figures: reports.flatMap(({ figures }) => figures),
        plots: reports.map(({ plot }) => plot),
      };
    }),
};

async function publish(system: System): Promise<void> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: shareCases.SHARE_CASES.map(({ service }) => service),
    backendServersPerService: BACKEND_SERVERS_PER_SERVICE,
    teams: Object.fromEntries(
      shareCases.SHARE_CASES.flatMap(({ teams }) =>
        teams.map(({ team, weight }) => [team, { weight }])
      ),
    ),
  });
  const queues = Object.fromEntries(
    Object.entries(config.queues!).map(([name, queue]) => [name, {
      ...queue,
      maxWaitMs: MAX_WAIT_MS,
    }]),
  );
  const started = await system.startBackendServers({ ...config, queues });
  await experimentSystem.applyToAllEntries(system, started);
}

function streamsOf(
  { service, teams }: shareCases.ShareCase,
  { system, seed }: { system: System; seed: number },
): TeamStream[] {
  return teams.map(({ team, entries, phases }, index) => ({
    team,
    entries,
    stream: {
      name: team,
      seed: seed * SEED_STEP + index,
      urls: experimentSystem.queueUrls(entries.map((entry) => system.entries[entry]!), {
        queue: service,
      }),
      headers: experimentSystem.authorizationHeader(team),
      phases: [...phases],
      meanRunMs: shareCases.MEAN_RUN_MS,
      withIdempotencyKeys: false,
    },
  }));
}

/** Simulates the same arrivals and run times under the fixed split. */
function simulateBaseline(streams: readonly TeamStream[]): fixedSplit.SlotRun[] {
  const requests = streams.flatMap(({ team, entries, stream }) =>
    arrivals.generateArrivals(stream).map(({ atMs, urlIndex, runMs }) => ({
      entry: entries[urlIndex]!,
      team,
      atMs,
      runMs: runMs!,
    }))
  );
  return fixedSplit.simulateFixedSplit(requests, {
    entryCount: experimentSystem.ENTRY_COUNT,
    slots: shareCases.SLOTS,
    maxWaitMs: MAX_WAIT_MS,
    weightOf: shareCases.weightOf,
  });
}

function reportOf(
  { service, windows }: shareCases.ShareCase,
  runs: {
    runs: readonly fixedSplit.SlotRun[];
    baselineRuns: readonly fixedSplit.SlotRun[];
  },
) {
  const usagesOf = (slotRuns: readonly fixedSplit.SlotRun[]) =>
    windows.map((window) =>
      shareWindows.windowUsage(slotRuns, {
        window,
        slots: shareCases.SLOTS,
        weightOf: shareCases.weightOf,
      })
    );
  const measuredUsages = usagesOf(runs.runs);
  const splitUsages = usagesOf(runs.baselineRuns);
  const figures: experiment.Figure[] = [
    {
      name: `${service}: largest distance from share`,
      unit: "%",
      value: shareWindows.largestShareDeviation(measuredUsages) * PERCENT,
      baseline: {
        name: "even fixed split, model",
        value: shareWindows.largestShareDeviation(splitUsages) * PERCENT,
      },
      target: MAX_DEVIATION,
    },
    {
      name: `${service}: slot time used, least window`,
      unit: "%",
      value: minUsedPercent(measuredUsages),
      baseline: { name: "even fixed split, model", value: minUsedPercent(splitUsages) },
    },
  ];
  return { figures, plot: plotOf(service, { windows, measuredUsages, splitUsages }) };
}

function minUsedPercent(uses: readonly shareWindows.WindowUsage[]): number {
  return Math.min(...uses.map(({ usedRatio }) => usedRatio)) * PERCENT;
}

function plotOf(
  service: string,
  { windows, measuredUsages, splitUsages }: {
    windows: readonly shareWindows.ShareWindow[];
    measuredUsages: readonly shareWindows.WindowUsage[];
    splitUsages: readonly shareWindows.WindowUsage[];
  },
) {
  const deviations = (uses: readonly shareWindows.WindowUsage[]) =>
    uses.map((use, index) =>
      [
        windows[index]!.startMs / 1_000,
        shareWindows.largestShareDeviation([use]) * PERCENT,
      ] as const
    );
  return {
    name: service,
    title: `Largest distance of a full team from its share over 10 s (${service})`,
    xLabel: "start of the window, s",
    yLabel: "distance, %",
    series: [
      { name: "jackdawlink", points: deviations(measuredUsages) },
      { name: "even fixed split", points: deviations(splitUsages) },
    ],
  };
}
