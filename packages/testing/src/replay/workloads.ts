/**
 * Scaled-down descriptions of the two workloads. The services peak in turn; urgent demand stays within
 * each team's share, and the total demand of a peak exceeds the pool. After a change, regenerate the
 * traces with `npx vitest run packages/testing/src/replay -u`.
 *
 * @module
 */
import type { config as configs } from "@jackdawlink/schema";
import { type Description, type Peak, seconds, type Stream } from "./recorder.ts";

const ENTRIES = 9;

/** The teams of one queue and their load at the peak. A load above 1 exceeds the team's share. */
interface QueueLoad {
  readonly queue: string;
  readonly peak: Peak;
  readonly meanRunMs: number;
  readonly urgentRatio: number;
  readonly otherwise: configs.Urgency;
  readonly repeatableRatio: number;
  readonly loads: Readonly<Record<string, number>>;
  /** The team whose requests arrive mostly at the first third of the entries. */
  readonly skewedTeam: string;
}

const EVEN_SKEW = 1 / 3;
const STRONG_SKEW = 0.8;

function streamsOf(queues: readonly QueueLoad[]): readonly Stream[] {
  return queues.flatMap((queue) =>
    Object.entries(queue.loads).map(([team, peakLoad]) => ({
      ...queue,
      team,
      peakLoad,
      skew: team === queue.skewedTeam ? STRONG_SKEW : EVEN_SKEW,
    }))
  );
}

function between(startSeconds: number, endSeconds: number): Peak {
  return { startMs: seconds(startSeconds), endMs: seconds(endSeconds) };
}

function zonesOf(zones: readonly string[]): readonly string[] {
  return Array.from({ length: ENTRIES }, (_, index) => zones[index % zones.length]!);
}

/** Boards take modules and make bookings; on Tuesday evening packs and sessions peak together. */
export const BOARDWISE: Description = {
  workload: "boardwise",
  config: "examples/boardwise.toml",
  seed: 11,
  durationMs: seconds(100),
  entryZones: zonesOf(["eu-west-a", "eu-west-b", "eu-west-c"]),
  streams: streamsOf([
    {
      queue: "modules",
      peak: between(1, 20),
      meanRunMs: 1_600,
      urgentRatio: 0,
      otherwise: "normal",
      repeatableRatio: 1,
      loads: {
        "east-boards": 2,
        "west-boards": 1.2,
        "education-board": 1.2,
        "gaelscoil-trust": 0.6,
        "community-schools": 1.3,
      },
      skewedTeam: "east-boards",
    },
    {
      queue: "booking",
      peak: between(20, 39),
      meanRunMs: 1_600,
      urgentRatio: 0.4,
      otherwise: "normal",
      repeatableRatio: 0,
      loads: { "east-boards": 1.8, "west-boards": 1.2, "community-schools": 1.2 },
      skewedTeam: "east-boards",
    },
    {
      queue: "packs",
      peak: between(40, 59),
      meanRunMs: 1_800,
      urgentRatio: 0.4,
      otherwise: "normal",
      repeatableRatio: 1,
      loads: { facilitators: 1.3, "east-boards": 1.8, "west-boards": 1.2 },
      skewedTeam: "facilitators",
    },
    {
      queue: "sessions",
      peak: between(44, 63),
      meanRunMs: 1_600,
      urgentRatio: 0.2,
      otherwise: "normal",
      repeatableRatio: 0.5,
      loads: { facilitators: 1.2, "west-boards": 1.4 },
      skewedTeam: "west-boards",
    },
    {
      queue: "certificates",
      peak: between(64, 83),
      meanRunMs: 2_400,
      urgentRatio: 0,
      otherwise: "background",
      repeatableRatio: 0,
      loads: { "east-certificates": 1.6, "education-board": 1.2, "gaelscoil-trust": 1.1 },
      skewedTeam: "east-certificates",
    },
  ]),
  events: [
    { type: "limitChanged", atMs: seconds(28), limit: "east-boards", maxRunningRequests: 24 },
    { type: "limitChanged", atMs: seconds(39), limit: "east-boards", maxRunningRequests: 96 },
    { type: "entryKilled", atMs: seconds(15), entry: 4 },
    { type: "backendServerLeaving", atMs: seconds(54), backendServer: "packs-3" },
    { type: "keyWithdrawn", atMs: seconds(78), key: "education-board" },
  ],
};

/** Renewals and payments before the courier cutoff compete with reminders and catalogue syncs. */
export const BRUGHIERA: Description = {
  workload: "brughiera",
  config: "examples/brughiera.toml",
  seed: 23,
  durationMs: seconds(110),
  entryZones: zonesOf(["lombardy-a", "lombardy-b", "lombardy-c", "lombardy-d"]),
  streams: streamsOf([
    {
      queue: "reminders",
      peak: between(1, 20),
      meanRunMs: 2_000,
      urgentRatio: 0,
      otherwise: "background",
      repeatableRatio: 0,
      loads: { "nutrition-reminders": 1.4, "herbs-billing": 1.2 },
      skewedTeam: "nutrition-reminders",
    },
    {
      queue: "renewals",
      peak: between(20, 41),
      meanRunMs: 1_600,
      urgentRatio: 0.45,
      otherwise: "background",
      repeatableRatio: 0,
      loads: { "herbs-billing": 1.2, "pharmacies-billing": 1.5, bikes: 1.2, wines: 1.2 },
      skewedTeam: "pharmacies-billing",
    },
    {
      queue: "payments",
      peak: between(41, 60),
      meanRunMs: 1_600,
      urgentRatio: 0.45,
      otherwise: "normal",
      repeatableRatio: 0,
      loads: { "herbs-billing": 1.5, "pharmacies-billing": 1.2, bikes: 0.6, wines: 1.3 },
      skewedTeam: "herbs-billing",
    },
    {
      queue: "restock",
      peak: between(60, 79),
      meanRunMs: 2_000,
      urgentRatio: 0.3,
      otherwise: "normal",
      repeatableRatio: 0,
      loads: { "pharmacies-restock": 0.65, wines: 1.6 },
      skewedTeam: "wines",
    },
    {
      queue: "catalogue",
      peak: between(62, 81),
      meanRunMs: 2_400,
      urgentRatio: 0,
      otherwise: "background",
      repeatableRatio: 1,
      loads: { "catalogue-sync": 1.4, bikes: 1.2 },
      skewedTeam: "catalogue-sync",
    },
  ]),
  events: [
    { type: "entryKilled", atMs: seconds(55), entry: 2 },
    { type: "backendServerLeaving", atMs: seconds(14), backendServer: "reminders-5" },
    { type: "limitChanged", atMs: seconds(34), limit: "wines", maxRunningRequests: 6 },
    { type: "limitChanged", atMs: seconds(41), limit: "wines", maxRunningRequests: 48 },
    { type: "keyWithdrawn", atMs: seconds(74), key: "bikes" },
  ],
};
