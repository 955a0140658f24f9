import { describe, expect, it } from "vitest";
import * as quarantine from "../quarantine.ts";
import * as sizeEstimates from "../size_estimates.ts";
import * as placement from "./place.ts";

const SIZE = { cores: 1, memoryMb: 100, accelerators: 0 };

function job(jobId: string, change: Partial<placement.WaitingJob> = {}): placement.WaitingJob {
  return {
    jobId,
    team: "billing",
    urgency: "normal",
    size: SIZE,
    runMs: 100,
    submittedAtMs: 0,
    ...change,
  };
}

function worker(
  name: string,
  change: Partial<placement.PlacementWorker> = {},
): placement.PlacementWorker {
  const free = { cores: 4, memoryMb: 1_000, accelerators: 0 };
  return {
    worker: name,
    availabilityZone: "a",
    rack: name,
    ...free,
    total: free,
    usable: true,
    ...change,
  };
}

function place(
  jobs: readonly placement.WaitingJob[],
  { workers = [worker("w1")], teams = {}, maxPlacements = 2 }: {
    workers?: readonly placement.PlacementWorker[];
    teams?: Partial<Record<string, placement.PlacementTeam>>;
    maxPlacements?: number;
  } = {},
): placement.PlacementRound {
  const byName = new Map(
    Object.entries(teams).flatMap(([name, team]) => team ? [[name, team] as const] : []),
  );
  return placement.placeRound({ jobs, workers, teams: byName, nowMs: 0, maxPlacements });
}

describe("placeRound", () => {
  const two = { weight: 2, running: 0 };
  const one = { weight: 1, running: 0 };
  it.each([
    {
      name: "urgent jobs first",
      jobs: [job("a"), job("b", { urgency: "background" }), job("c", { urgency: "urgent" })],
      placed: ["c", "a"],
    },
    {
      name: "the job with the lowest latest possible start first",
      jobs: [job("a"), job("b", { deadlineAtMs: 900 }), job("c", { deadlineAtMs: 800, runMs: 10 })],
      placed: ["c", "b"],
    },
    {
      name: "jobs of teams in proportion to their weights",
      jobs: [job("a"), job("b"), job("c", { team: "reminders" }), job("d")],
      teams: { billing: { ...two, running: 2 }, reminders: { ...one, running: 0 } },
      placed: ["c", "a"],
    },
    {
      name: "no more jobs than a team's limit",
      jobs: [job("a"), job("b")],
      teams: { billing: { ...one, running: 1, maxRunningTasks: 2 } },
      placed: ["a"],
    },
    {
      name: "nothing on a worker that is draining or quarantined",
      jobs: [job("a")],
      workers: [worker("w1", { usable: false })],
      placed: [],
    },
    {
      name: "one task on a worker on probation",
      jobs: [job("a"), job("b")],
      workers: [worker("w1", { maxNewTasks: 1 })],
      placed: ["a"],
    },
  ])("places $name", ({ jobs, workers, teams, placed }) => {
    const round = place(jobs, { workers, teams });
    expect(round.placements.map(({ jobId }) => jobId)).toEqual(placed);
  });

  it("spreads a team over racks and refuses a job that fits no worker", () => {
    const large = job("x", { size: { cores: 5, memoryMb: 1, accelerators: 0 } });
    const round = place([job("a"), job("b"), large], { workers: [worker("w1"), worker("w2")] });
    expect(new Set(round.placements.map(({ worker }) => worker)).size).toBe(2);
    expect(round.refusals.map(({ jobId }) => jobId)).toEqual(["x"]);
  });

  it("examines few of 7,400 workers for each job of 370 teams", () => {
    let reads = 0;
    const workers = Array.from({ length: 7_400 }, (_, index) => {
      const listed = worker(`w${index}`, {
        rack: `r${index >> 2}`,
        availabilityZone: `z${index % 8}`,
        memoryMb: 32_000,
        accelerators: index % 5 === 0 ? 4 : 0,
        total: { cores: 16, memoryMb: 32_000, accelerators: index % 5 === 0 ? 4 : 0 },
      });
      return Object.defineProperty(listed, "cores", {
        get() {
          reads += 1;
          return index % 16;
        },
      });
    });
    const jobs = Array.from({ length: 5_000 }, (_, index) =>
      job(`j${index}`, {
        team: `t${index % 370}`,
        size: { cores: 1 + (index % 8), memoryMb: 4_000, accelerators: Number(index % 7 === 0) },
        submittedAtMs: index,
      }));
    const round = place(jobs, { workers, maxPlacements: 500 });
    expect(round.placements).toHaveLength(500);
    // A linear search of all workers for each placement would read this 3,700,000 times.
    expect(reads).toBeLessThan(0.05 * workers.length * round.placements.length);
  });
});

describe("FailureHistory", () => {
  it.each([
    { name: "failures of three jobs on one worker", ends: ["w1 a", "w1 b", "w1 c"], faulty: true },
    { name: "repeated failures of one job", ends: ["w1 a", "w1 a", "w1 a"], faulty: false },
    {
      name: "failures of jobs that also fail elsewhere",
      ends: ["w2 a", "w3 b", "w1 a", "w1 b", "w1 c"],
      faulty: false,
    },
    { name: "a success in between", ends: ["w1 a", "w1 b", "w1 ok +", "w1 c"], faulty: false },
  ])("returns $faulty after $name", ({ ends, faulty }) => {
    const history = new quarantine.FailureHistory();
    for (const [name = "", jobId = "", success] of ends.map((end) => end.split(" "))) {
      history.add({ worker: name, jobId, succeeded: success === "+" });
    }
    expect(history.isFaulty("w1")).toBe(faulty);
  });
});

describe("SizeEstimates", () => {
  it("estimates follow usage of three times the declared size", () => {
    const sizes = new sizeEstimates.SizeEstimates();
    const declared = { cores: 1, memoryMb: 100 };
    for (let count = 0; count < 20; count += 1) {
      sizes.observe("g", { declared, used: { cores: 3, memoryMb: 300 } });
    }
    const { cores, memoryMb } = sizes.estimate("g", declared);
    expect(cores).toBeGreaterThan(3);
    expect(memoryMb).toBe(345);
  });

  it.each(
    [
      {
        used: 1,
        last: "none",
        sinceLastMs: 99,
        checkpointed: false,
        repeatable: true,
        next: "none",
      },
      {
        used: 2,
        last: "none",
        sinceLastMs: 9,
        checkpointed: false,
        repeatable: true,
        next: "none",
      },
      {
        used: 2,
        last: "none",
        sinceLastMs: 99,
        checkpointed: false,
        repeatable: true,
        next: "throttle",
      },
      {
        used: 2,
        last: "throttle",
        sinceLastMs: 99,
        checkpointed: false,
        repeatable: true,
        next: "checkpoint",
      },
      {
        used: 2,
        last: "checkpoint",
        sinceLastMs: 99,
        checkpointed: true,
        repeatable: true,
        next: "stop",
      },
      {
        used: 2,
        last: "throttle",
        sinceLastMs: 99,
        checkpointed: false,
        repeatable: false,
        next: "none",
      },
    ] as const,
  )("overuseAction: usage $used after $last leads to $next", (row) => {
    const allotted = { cores: 1, memoryMb: 100 };
    const task = { ...row, allotted, used: { cores: row.used, memoryMb: 100 } };
    const action = sizeEstimates.overuseAction(task, { ...row, lagMs: 50 });
    expect(action).toBe(row.next);
  });
});
