/**
 * The uneven loads of the share experiment. Each service has {@link SLOTS} slots.
 *
 * @module
 */
import { ENTRY_COUNT } from "../experiment_system.ts";
import type * as loadSpec from "../load/load_spec.ts";
import * as shareWindows from "../share_windows.ts";

/** A team, its weight and its load. */
export interface ShareTeam {
  readonly team: string;
  readonly weight: number;
  /** Indexes of the entries that receive its requests. */
  readonly entries: readonly number[];
  readonly phases: readonly loadSpec.Phase[];
}

/** The teams that load one service, and the windows in which their shares are compared. */
export interface ShareCase {
  readonly service: string;
  readonly teams: readonly ShareTeam[];
  readonly windows: readonly shareWindows.ShareWindow[];
}

export const SLOTS = 16;
export const MEAN_RUN_MS = 100;

const MS_PER_SECOND = 1_000;
const SUM_OF_WEIGHTS = 16;
/** The request rate that keeps one slot busy. */
const RATE_PER_SLOT_PER_SECOND = MS_PER_SECOND / MEAN_RUN_MS;
/** The demand of a backlogged team, in multiples of its share. */
const BACKLOG_FACTOR = 2;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
/** The mean demand of a bursty team, in multiples of its share. */
const BURSTY_MEAN_DEMAND = 0.5;

const ALL_ENTRIES = Array.from({ length: ENTRY_COUNT }, (_, index) => index);
const LOAD_MS = 31_000;
const FIRST_WINDOW_MS = 5_000;
const WINDOW = { lengthMs: 10_000, stepMs: 1_000 };
const SECOND_BURST_MS = 16_000;
/** By then, the requests that were queued at the end of the first burst have been served. */
const SECOND_WINDOW_MS = 20_000;

/** A team whose demand always exceeds its share. */
function backloggedTeam(
  team: string,
  { weight, entries = ALL_ENTRIES }: { weight: number; entries?: readonly number[] },
): ShareTeam {
  const ratePerSecond = rateOfShare(weight) * BACKLOG_FACTOR;
  return { team, weight, entries, phases: [{ startMs: 0, endMs: LOAD_MS, ratePerSecond }] };
}

/** A team whose demand is five times its mean within a span, and a twentieth of it otherwise. */
function burstyTeam(
  team: string,
  { weight, startMs, endMs }: { weight: number; startMs: number; endMs: number },
): ShareTeam {
  const meanRate = rateOfShare(weight) * BURSTY_MEAN_DEMAND;
  const quietRate = meanRate * QUIET_FACTOR;
  const phases = [
    { startMs: 0, endMs: startMs, ratePerSecond: quietRate },
    { startMs, endMs, ratePerSecond: meanRate * BURST_FACTOR },
    { startMs: endMs, endMs: Math.max(endMs, LOAD_MS), ratePerSecond: quietRate },
  ];
  return { team, weight, entries: ALL_ENTRIES, phases };
}

function rateOfShare(weight: number): number {
  return SLOTS * weight / SUM_OF_WEIGHTS * RATE_PER_SLOT_PER_SECOND;
}

const LARGE_TEAMS = ["large-1", "large-2", "large-3", "large-4"];
const SMALL_TEAMS = ["small-1", "small-2", "small-3", "small-4"];
const ENTRIES_OF_SMALL_TEAM = 3;

/** All cases. They run concurrently, each on separate backend servers. */
export const SHARE_CASES: readonly ShareCase[] = [
  {
    service: "skewed",
    teams: [
      backloggedTeam("two-entries", { weight: 4, entries: [0, 1] }),
      backloggedTeam("all-entries", { weight: 4 }),
      backloggedTeam("heavy", { weight: 8 }),
    ],
    windows: shareWindows.slidingWindows({ startMs: FIRST_WINDOW_MS, endMs: LOAD_MS, ...WINDOW }, [
      "two-entries",
      "all-entries",
      "heavy",
    ]),
  },
  {
    service: "workspaces",
    teams: [
      ...LARGE_TEAMS.map((team) => backloggedTeam(team, { weight: 3 })),
      ...SMALL_TEAMS.map((team, index) =>
        backloggedTeam(team, {
          weight: 1,
          entries: ALL_ENTRIES.slice(index, index + ENTRIES_OF_SMALL_TEAM),
        })
      ),
    ],
    windows: shareWindows.slidingWindows({ startMs: FIRST_WINDOW_MS, endMs: LOAD_MS, ...WINDOW }, [
      ...LARGE_TEAMS,
      ...SMALL_TEAMS,
    ]),
  },
  {
    service: "bursts",
    teams: [
      backloggedTeam("steady", { weight: 8 }),
      burstyTeam("first-burst", { weight: 4, startMs: 0, endMs: SECOND_BURST_MS }),
      burstyTeam("second-burst", { weight: 4, startMs: SECOND_BURST_MS, endMs: LOAD_MS }),
    ],
    windows: [
      ...shareWindows.slidingWindows(
        { startMs: FIRST_WINDOW_MS, endMs: SECOND_BURST_MS, ...WINDOW },
        ["steady", "first-burst"],
      ),
      ...shareWindows.slidingWindows(
        { startMs: SECOND_WINDOW_MS, endMs: LOAD_MS, ...WINDOW },
        ["steady", "second-burst"],
      ),
    ],
  },
];

const WEIGHTS = new Map(
  SHARE_CASES.flatMap(({ teams }) => teams.map(({ team, weight }) => [team, weight] as const)),
);

/** The weight of a team in its case. */
export function weightOf(team: string): number {
  return WEIGHTS.get(team) ?? 1;
}
