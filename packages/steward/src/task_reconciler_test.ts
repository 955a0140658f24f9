import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import * as adapters from "@jackdawlink/adapters";
import * as testing from "@jackdawlink/testing";
import { DecisionLog } from "./decision_log.ts";
import { TaskReconciler, type TaskReconcilerOptions } from "./task_reconciler.ts";

const WORKER_LOST_AFTER_MS = 10_000;
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
