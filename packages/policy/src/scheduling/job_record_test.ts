import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import { JobRecord } from "./job_record.ts";

const { step } = testing.schedulingFixtures;

/** As many steps as fit into a submission of 256 KiB. */
const MAX_STEPS = 87_000;

function jobOf(steps: readonly schema.scheduling.Step[]): JobRecord {
  const spec = { payload: "p", steps: [...steps] };
  const job = { jobId: "job", queue: "q", workspace: "w", acceptedUnixMs: 0, spec };
  return new JobRecord(job, { acceptedRevision: 1, seenAtMs: 0 });
}

test.each([
  { name: "one step", steps: [step({ estimateMs: 5 })], paths: [5] },
  {
    name: "a chain",
    steps: [
      step({ estimateMs: 1 }),
      step({ estimateMs: 2, afterSteps: [0] }),
      step({ estimateMs: 4, afterSteps: [1] }),
    ],
    paths: [7, 6, 4],
  },
  {
    name: "a fork whose longer branch counts",
    steps: [
      step({ estimateMs: 1 }),
      step({ estimateMs: 2, afterSteps: [0] }),
      step({ estimateMs: 9, afterSteps: [0, 0] }),
    ],
    paths: [10, 2, 9],
  },
])("computes the critical paths of $name", ({ steps, paths }) => {
  const job = jobOf(steps);
  expect(steps.map((_, index) => job.criticalPathFromMs(index))).toEqual(paths);
  expect(job.criticalPathMs()).toBe(Math.max(...paths));
});

test.each([
  { name: "independent", afterSteps: (_index: number): number[] => [] },
  { name: "chained", afterSteps: (index: number) => index === 0 ? [] : [index - 1] },
])("loads a job of as many $name steps as a submission holds without a quadratic delay", {
  timeout: 10_000,
}, ({ afterSteps }) => {
  const each = step({ estimateMs: 1 });
  const job = jobOf(
    Array.from({ length: MAX_STEPS }, (_, index) => ({ ...each, afterSteps: afterSteps(index) })),
  );
  expect(job.criticalPathMs()).toBeGreaterThan(0);
});
