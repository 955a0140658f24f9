import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";

const LIMIT = { cpuMillicores: 10_000, memoryMb: 0, gpuCount: 0 };
const UNLIMITED = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };
const SMALL = { cpuMillicores: 4_000, memoryMb: 32_768, gpuCount: 0 };
const NOW_MS = 2_000;
const UNSEEN = "w1";

type Step = Partial<schema.scheduling.Step>;

function putJob(
  scheduler: Scheduler,
  jobId: string,
  { acceptedRevision, seenAtMs, workspace = "acme", step }: {
    readonly acceptedRevision: number;
    readonly seenAtMs: number;
    readonly workspace?: string;
    readonly step: Step;
  },
): void {
  const job = fixtures.job(jobId, [testing.schedulingFixtures.step(step)]);
  scheduler.putJob({ ...job, workspace }, { acceptedRevision, seenAtMs });
}

function listedVm(workerId: string, total = fixtures.TOTAL): schema.scheduling.ListedVm {
  return { vm: `vm-${workerId}`, pool: "pool", state: "up", total, labels: [], workerId };
}

interface Case {
  readonly name: string;
  /** The job from before the takeover, of which worker `w1` may run tasks unseen. */
  readonly earlier: Step;
  readonly limit?: schema.scheduling.Resources;
  readonly earlierWorkspace?: string;
  readonly isCancelled?: boolean;
  /** The VMs of the list that has been read; undefined if there was none. */
  readonly listed?: readonly schema.scheduling.ListedVm[];
  /** How many of eight tasks of a later job start, of one core each. */
  readonly starts: number;
}

const CASES: readonly Case[] = [
  { name: "as many as the earlier tasks leave", earlier: { taskCount: 8 }, starts: 2 },
  { name: "none beside many earlier tasks", earlier: { taskCount: 100 }, starts: 0 },
  {
    name: "all without a limit",
    earlier: { taskCount: 100 },
    limit: UNLIMITED,
    starts: 8,
  },
  {
    name: "all of another workspace",
    earlier: { taskCount: 100 },
    earlierWorkspace: "other",
    starts: 8,
  },
  {
    name: "as many as a cancelled job leaves",
    earlier: { taskCount: 8 },
    isCancelled: true,
    starts: 2,
  },
  {
    name: "as many as the unreported worker's capacity leaves",
    earlier: { taskCount: 100 },
    listed: [listedVm(UNSEEN, SMALL), listedVm("w2")],
    starts: 6,
  },
  {
    name: "all once a list shows that the other VM is down",
    earlier: { taskCount: 100 },
    listed: [{ ...listedVm(UNSEEN), state: "down", workerId: undefined }, listedVm("w2")],
    starts: 8,
  },
  {
    name: "as many as tasks on spare processor time leave, which no worker's cores bound",
    earlier: { taskCount: 8, usesSpareCpu: true },
    listed: [listedVm(UNSEEN, SMALL), listedVm("w2")],
    starts: 2,
  },
];

/** A new owner to which worker `w2` has reported that it runs nothing, and worker `w1` has not reported. */
function unsettledScheduler(limit: schema.scheduling.Resources): Scheduler {
  const scheduler = fixtures.unsettledScheduler(2);
  const workspaces = ["acme", "other"].map((name) => ({ name, keys: [], weight: 100, limit }));
  scheduler.setConfig(fixtures.config({ workspaces }));
  const worker = scheduler.putWorker(fixtures.workerInfo("w2"), 0)!;
  scheduler.applyReport(worker, fixtures.emptyReport(), { sentAtMs: 10, receivedAtMs: 20 });
  return scheduler;
}

function startedTasks(scheduler: Scheduler): string[] {
  return scheduler.decide({ nowMs: NOW_MS, wallMs: NOW_MS }).flatMap((order) =>
    order.kind === "start" ? [order.run.task.name] : []
  );
}

// Guards against a workspace that exceeds its limit beside runs on a worker that is cut off during a takeover.
test.each(CASES)(
  "before a takeover has settled, starts $name",
  ({ earlier, limit = LIMIT, earlierWorkspace = "acme", isCancelled, listed, starts }) => {
    const scheduler = unsettledScheduler(limit);
    putJob(scheduler, "earlier", {
      acceptedRevision: 1,
      seenAtMs: 0,
      workspace: earlierWorkspace,
      step: earlier,
    });
    if (isCancelled) {
      scheduler.cancelJob("earlier");
    }
    if (listed !== undefined) {
      const alive = listed.filter(({ state }) => state === "up");
      alive.forEach(({ workerId, total }) =>
        scheduler.putWorker({ ...fixtures.workerInfo(workerId!), total }, 0)
      );
      scheduler.applyVmList(listed, { askedAtMs: 1_700, nowMs: 1_710 });
    }
    const laterStep = { taskCount: 8 };
    putJob(scheduler, "later", { acceptedRevision: 10, seenAtMs: 1_900, step: laterStep });
    const started = startedTasks(scheduler);
    expect(started.filter((task) => task.startsWith("later"))).toHaveLength(starts);
  },
);

test("starts the waiting tasks once the takeover has settled", () => {
  const scheduler = unsettledScheduler(LIMIT);
  const step = { taskCount: 8 };
  putJob(scheduler, "earlier", { acceptedRevision: 1, seenAtMs: 0, step });
  putJob(scheduler, "later", { acceptedRevision: 10, seenAtMs: 1_900, step });
  expect(startedTasks(scheduler)).toHaveLength(2);
  scheduler.settle(NOW_MS, "test");
  expect(startedTasks(scheduler)).toHaveLength(8);
});

// Guards against unseen runs that a next owner would not count, as their job's description is gone.
test.each([
  { name: "a cancelled job", finish: (scheduler: Scheduler) => scheduler.cancelJob("earlier") },
])("keeps $name until the takeover has settled", ({ finish }) => {
  const scheduler = unsettledScheduler(LIMIT);
  putJob(scheduler, "earlier", { acceptedRevision: 1, seenAtMs: 0, step: { taskCount: 8 } });
  finish(scheduler);
  const job = scheduler.jobs.get("earlier")!;
  scheduler.takeDirtyJobs(10, () => 1);
  expect([scheduler.canRetire(job), scheduler.dirtyJobCount]).toEqual([false, 0]);
  scheduler.settle(NOW_MS, "test");
  expect([scheduler.canRetire(job), scheduler.dirtyJobCount]).toEqual([true, 1]);
});
