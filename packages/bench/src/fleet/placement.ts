/**
 * Measures the duration of one placement round at the planned fleet size.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import { median } from "../capacity/least_squares.ts";
import type * as experiment from "../experiment.ts";
import * as testing from "@jackdawlink/testing";

const WORKER_COUNT = 7_400;
const TEAM_COUNT = 370;
const WAITING_COUNT = 5_000;
const MAX_PLACEMENTS = 500;
const ROUNDS = 15;
const TARGET_MS = 50;
const URGENCIES = ["urgent", "normal", "background"] as const;

export const placementExperiment: experiment.Experiment = {
  description: "Time of a placement round at 7,400 workers, 370 teams and 5,000 waiting jobs",
  runSeed: ({ seed }) => {
    const input = makeInput(new testing.seededRandom.SeededRandom(seed));
    const times = Array.from({ length: ROUNDS }, () => {
      const startedAtMs = performance.now();
      policy.fleet.placement.placeRound(input);
      return performance.now() - startedAtMs;
    });
    const placed = policy.fleet.placement.placeRound(input).placements.length;
    const target: experiment.Target = { kind: "atMost", value: TARGET_MS };
    const figures: experiment.Figure[] = [
      { name: "round, median", unit: "ms", value: median(times), target },
      {
        name: "round, the first and slowest included",
        unit: "ms",
        value: Math.max(...times),
        target,
      },
      { name: "placements in the round", unit: "jobs", value: placed },
    ];
    return Promise.resolve({ figures });
  },
};

type Input = Parameters<typeof policy.fleet.placement.placeRound>[0];

function makeInput(random: testing.seededRandom.SeededRandom): Input {
  const workers = Array.from({ length: WORKER_COUNT }, (_, index) => {
    const accelerators = index % 5 === 0 ? 4 : 0;
    return {
      worker: `worker-${index}`,
      availabilityZone: `zone-${index % 8}`,
      rack: `rack-${index >> 2}`,
      cores: random.between(0, 16),
      memoryMb: random.between(0, 32_000),
      accelerators,
      usable: true,
      total: { cores: 16, memoryMb: 32_000, accelerators },
    };
  });
  const jobs = Array.from({ length: WAITING_COUNT }, (_, index) => ({
    jobId: `job-${index}`,
    team: `team-${random.between(0, TEAM_COUNT - 1)}`,
    urgency: URGENCIES[random.between(0, 2)]!,
    size: {
      cores: random.between(1, 8),
      memoryMb: random.between(100, 8_000),
      accelerators: Number(random.between(0, 6) === 0),
    },
    runMs: random.between(1_000, 600_000),
    submittedAtMs: index,
    ...(index % 2 === 0 ? { deadlineAtMs: random.between(0, 3_600_000) } : {}),
  }));
  const teams = new Map(
    Array.from({ length: TEAM_COUNT }, (_, index) => [`team-${index}`, {
      weight: random.between(1, 10),
      maxRunningTasks: random.between(10, 500),
      running: random.between(0, 50),
    }]),
  );
  return { jobs, workers, teams, nowMs: 0, maxPlacements: MAX_PLACEMENTS };
}
