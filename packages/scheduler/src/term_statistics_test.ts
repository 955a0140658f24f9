import * as adapters from "@jackdawlink/adapters";
import * as testing from "@jackdawlink/testing";
import { expect, test, vi } from "vitest";
import { NodeMetrics } from "./metrics.ts";
import { TermStatistics } from "./term_statistics.ts";
import { termFixture } from "./test/term_fixture.ts";
import { useSimulatedTime } from "./test/model_world.ts";

useSimulatedTime();

test("reports calls to workers with and without an answer, in the log and in the metrics", async () => {
  const lines: object[] = [];
  const metrics = new NodeMetrics();
  const statistics = new TermStatistics({
    scheduler: termFixture().scheduler,
    clock: testing.schedulingFixtures.TIMER_CLOCK,
    log: {
      ...adapters.log.SILENT_LOG,
      info: (message, fields) => void lines.push({ message, ...fields }),
    },
    metrics,
  });
  ["done", "unknown", "report", "unknown"].forEach((outcome) =>
    statistics.recordWorkerCall(outcome)
  );
  await vi.advanceTimersByTimeAsync(1_000);
  statistics.tick();
  await vi.advanceTimersByTimeAsync(1_000);
  statistics.tick();
  expect(lines).toMatchObject([
    { message: "Backlog", workerCalls: 4, failedWorkerCalls: 2, intervalMs: 1_000 },
    { message: "Backlog", workerCalls: 0, failedWorkerCalls: 0, intervalMs: 1_000 },
  ]);
  const text = await metrics.text();
  expect(text).toContain('jackdawlink_worker_calls_total{outcome="unknown"} 2');
  expect(text).toContain("jackdawlink_process_cpu_seconds");
});
