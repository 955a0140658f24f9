import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";

const NOW = { nowMs: 10_000, wallMs: 10_000 };
const RUNNING = { task: "j.0.0.0", runId: 1, checkpoint: "", percent: 10, load: 0 };
const AT = { sentAtMs: 9_990, receivedAtMs: 10_000 };

function putJob(scheduler: Scheduler, taskCount = 1): void {
  const job = fixtures.job("j", [testing.schedulingFixtures.step({ taskCount })]);
  scheduler.putJob(job, { acceptedRevision: 10, seenAtMs: 9_900 });
}

/** The orders of a decision, as kind, task and worker. */
function orders(scheduler: Scheduler): string[] {
  return scheduler.decide(NOW).flatMap((order) =>
    "run" in order ? [`${order.kind} ${order.run.task.name} ${order.run.workerId}`] : []
  );
}

// Guards against a task that counts as running for good on a worker that is not tracked any more.
test.each<{ readonly name: string; readonly remove: (scheduler: Scheduler) => void }>([
  {
    name: "its VM was listed as down",
    remove: (scheduler) => {
      const vm = { vm: "vm-w1", pool: "pool", state: "down", labels: [] } as const;
      const listed = [{ ...vm, total: fixtures.TOTAL, workerId: undefined }];
      scheduler.applyVmList(listed, { askedAtMs: 9_995, nowMs: 9_996 });
    },
  },
  {
    name: "its VM was moved",
    remove: (scheduler) => scheduler.dropWorker(scheduler.workers.get("w1")!, 9_995, "a move"),
  },
  {
    name: "its process was restarted",
    remove: (scheduler) => {
      scheduler.putWorker(fixtures.workerInfo("w1", { startedUnixMs: 2 }), 9_995);
    },
  },
  {
    name: "its registration was removed while it ran nothing",
    remove: (scheduler) => {
      scheduler.recordWorkerUnlisted("w1");
      scheduler.expireLeases(9_995);
    },
  },
])("takes over no run from a report that arrives after $name", ({ remove }) => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  putJob(scheduler);
  const removed = scheduler.workers.get("w1")!;
  remove(scheduler);
  scheduler.applyReport(removed, fixtures.emptyReport({ running: [RUNNING] }), AT);
  expect(removed.runs.size).toBe(0);
  expect(orders(scheduler)).toEqual(["start j.0.0.0 w2"]);
});

// Guards against a sound run that a new owner stops because its worker's registration lapsed for a moment.
test("keeps the runs of a worker whose registration lapses before its first report", () => {
  const scheduler = fixtures.scheduler(["w2"]);
  putJob(scheduler);
  const worker = scheduler.putWorker(fixtures.workerInfo("w1"), 0)!;
  scheduler.recordWorkerUnlisted("w1");
  scheduler.expireLeases(9_900);
  scheduler.applyReport(worker, fixtures.emptyReport({ running: [RUNNING] }), AT);
  expect(scheduler.putWorker(fixtures.workerInfo("w1"), 10_000)).toBe(worker);
  expect([...worker.runs.values()].map(({ task }) => task.name)).toEqual(["j.0.0.0"]);
  expect(orders(scheduler)).toEqual([]);
});
