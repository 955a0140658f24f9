import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import * as adapters from "@jackdawlink/adapters";
import * as testing from "@jackdawlink/testing";
import { DecisionLog } from "./decision_log.ts";
import { TaskReconciler, type TaskReconcilerOptions } from "./task_reconciler.ts";

const WORKER_LOST_AFTER_MS = 10_000;
const USAGE_LAG_MS = 15_000;
const JOB = { jobId: "renewal", attempt: 1, state: "placed", worker: "w-1", spec: {} };

test("does not count tasks as lost early when the wall clock is set forward", async () => {
  const clock = new testing.virtualTime.VirtualClock();
  let endCount = 0;
  const segments = {
    jobs: () => [JOB],
    update: () => {
      endCount++;
      return okAsync(JOB);
    },
  };
  const reconciler = new TaskReconciler(
    {
      segments,
      placer: { revision: 1 },
      clock,
      decisions: new DecisionLog(clock, adapters.log.SILENT_LOG),
    } as unknown as TaskReconcilerOptions,
  );
  await reconciler.step([]);
  clock.setForward(2 * WORKER_LOST_AFTER_MS);
  clock.advance(WORKER_LOST_AFTER_MS);
  await reconciler.step([]);
  expect(endCount).toBe(0);
  clock.advance(1);
  await reconciler.step([]);
  expect(endCount).toBe(1);
});

test("does not act on a task again before its usage can show, when the wall clock is set forward", async () => {
  const clock = new testing.virtualTime.VirtualClock();
  const actions: string[] = [];
  const record = (action: string) => () => {
    actions.push(action);
    return okAsync("done");
  };
  const spec = { cores: 1, memoryMb: 64, repeatable: true };
  const usage = { usedCores: 8, usedMemoryMb: 64 };
  const task = { taskId: "renewal.1", state: "running", checkpointed: false, ...usage };
  const reconciler = new TaskReconciler(
    {
      segments: { jobs: () => [{ ...JOB, spec }] },
      sizes: { observe: () => {}, allotted: () => spec },
      platform: { throttleTask: record("throttle"), checkpointTask: record("checkpoint") },
      clock,
      decisions: new DecisionLog(clock, adapters.log.SILENT_LOG),
    } as unknown as TaskReconcilerOptions,
  );
  const step = async (elapsedMs: number) => {
    clock.advance(elapsedMs);
    await reconciler.step(
      [{ worker: "w-1", state: "live", tasks: [task] }] as unknown as Parameters<
        TaskReconciler["step"]
      >[0],
    );
  };
  await step(0);
  await step(USAGE_LAG_MS);
  clock.setForward(2 * USAGE_LAG_MS);
  await step(USAGE_LAG_MS - 1);
  expect(actions).toEqual(["throttle"]);
  await step(1);
  expect(actions).toEqual(["throttle", "checkpoint"]);
});
