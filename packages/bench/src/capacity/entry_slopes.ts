/**
 * Measures entry processes by number of entries and of teams, idle and while the configuration
 * changes.
 *
 * @module
 */
import { median } from "./least_squares.ts";
import * as plannedSize from "./planned_size.ts";
import * as processUsage from "./process_usage.ts";
import { pause, RunningSystem, type StoreCalls } from "./running_system.ts";
import type { Slope } from "./slope.ts";

interface EntryFigures extends processUsage.UsageRates {
  readonly storeReadsPerSecond: number;
  readonly storeLeasesPerSecond: number;
  readonly inForceMs: number;
}

type FigureName = Exclude<keyof EntryFigures, "seconds">;

const LABELS: Readonly<Record<FigureName, string>> = {
  cpuPercent: "processor time of an entry, % of a core",
  residentBytes: "resident memory of an entry, bytes",
  bytesPerSecond: "bytes read and written by an entry, bytes/s",
  storeReadsPerSecond: "store reads of all entries, calls/s",
  storeLeasesPerSecond: "store lease calls of all entries, calls/s",
  inForceMs: "publish until all entries report it (median), ms",
};
const IDLE_FIGURES: readonly FigureName[] = [
  "cpuPercent",
  "residentBytes",
  "bytesPerSecond",
  "storeReadsPerSecond",
  "storeLeasesPerSecond",
];
const MEMBER_COUNTS = [3, 6, 9, 18];
const CHANGES_PER_SECOND = [0.25, 1, 2, 4];
const MEASURED_MS = 10_000;
const MS_PER_SECOND = 1_000;
const FEW_MEMBERS = 3;
const PLANNED_MEMBERS = 36;
const SECONDS_PER_DAY = 86_400;

/** Measures different numbers of idle entries at the planned number of teams. */
export async function runIdle(): Promise<readonly Slope[]> {
  const { teams } = plannedSize.PLANNED;
  const byMembers: Measured[] = [];
  for (const members of MEMBER_COUNTS) {
    byMembers.push({
      x: members,
      figures: await measureFigures({ members, teams, changesPerSecond: 0 }),
    });
  }
  return slopesOf(byMembers, {
    figures: IDLE_FIGURES,
    size: `members, ${teams} teams, idle`,
    plannedSize: PLANNED_MEMBERS,
  });
}

/** Measures three entries with different numbers of teams and one change per second. */
export async function runTeams(): Promise<readonly Slope[]> {
  const byTeams: Measured[] = [];
  for (const teams of plannedSize.TEAM_COUNTS) {
    const figures = await measureFigures({ members: FEW_MEMBERS, teams, changesPerSecond: 1 });
    byTeams.push({ x: teams, figures });
  }
  return slopesOf(byTeams, {
    figures: ["cpuPercent", "residentBytes", "bytesPerSecond", "inForceMs"],
    size: `teams, ${FEW_MEMBERS} members, 1 change/s`,
    plannedSize: plannedSize.PLANNED.teams,
  });
}

/** Measures nine entries at the planned number of teams with different rates of change. */
export async function runChanges(): Promise<readonly Slope[]> {
  const { teams } = plannedSize.PLANNED;
  const members = 9;
  const byRate: Measured[] = [];
  for (const changesPerSecond of CHANGES_PER_SECOND) {
    byRate.push({
      x: changesPerSecond,
      figures: await measureFigures({ members, teams, changesPerSecond }),
    });
  }
  return slopesOf(byRate, {
    figures: ["cpuPercent", "residentBytes", "bytesPerSecond", "storeReadsPerSecond", "inForceMs"],
    size: `changes/s, ${members} members, ${teams} teams`,
    plannedSize: Number((plannedSize.PLANNED.configChangesPerDay / SECONDS_PER_DAY).toFixed(2)),
  });
}

interface Measured {
  readonly x: number;
  readonly figures: EntryFigures;
}

function slopesOf(
  measured: readonly Measured[],
  { figures, size, plannedSize }: {
    figures: readonly FigureName[];
    size: string;
    plannedSize: number;
  },
): readonly Slope[] {
  return figures.map((name) => ({
    figure: LABELS[name],
    size,
    points: measured.map(({ x, figures }) => ({ x, y: figures[name] })),
    plannedSize,
  }));
}

async function measureFigures(
  { members, teams, changesPerSecond }: {
    members: number;
    teams: number;
    changesPerSecond: number;
  },
): Promise<EntryFigures> {
  const running = new RunningSystem(members);
  try {
    const config = plannedSize.plannedConfig(teams);
    await running.start(config);
    const before = await running.storeCalls();
    const inForceMs: number[] = [];
    const rates = await processUsage.measureRates(running.programs, async () => {
      if (changesPerSecond === 0) await pause(MEASURED_MS);
      else inForceMs.push(...await publishSteadily(running, { config, changesPerSecond }));
    });
    const after = await running.storeCalls();
    const perSecond = (kind: keyof StoreCalls) => (after[kind] - before[kind]) / rates.seconds;
    return {
      ...rates,
      storeReadsPerSecond: perSecond("read"),
      storeLeasesPerSecond: perSecond("lease"),
      inForceMs: median(inForceMs),
    };
  } finally {
    await running.stop();
  }
}

/**
 * Publishes changes sequentially at a constant rate; returns the milliseconds until each is in
 * force.
 */
async function publishSteadily(
  running: RunningSystem,
  { config, changesPerSecond }: {
    config: ReturnType<typeof plannedSize.plannedConfig>;
    changesPerSecond: number;
  },
): Promise<number[]> {
  const inForceMs: number[] = [];
  const count = Math.max(3, Math.round(changesPerSecond * MEASURED_MS / MS_PER_SECOND));
  let changed = config;
  for (let index = 0; index < count; index += 1) {
    changed = plannedSize.withToggledKey(changed, index * 7);
    const usedMs = await running.publish(changed);
    inForceMs.push(usedMs);
    await pause(Math.max(0, MS_PER_SECOND / changesPerSecond - usedMs));
  }
  return inForceMs;
}
