import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import type { Run } from "./job_record.ts";
import type { Scheduler } from "./scheduler.ts";
import * as fixtures from "./test/fixtures.ts";

const VALID_MS = 3_000;
const ANSWER_MS = 20;
const ADVICE = { decideMs: 5, eachMs: 1, validMs: VALID_MS };

function workerIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `w${index + 1}`);
}

/** A scheduler of a queue with advice, and a policy that answers each request after a while. */
class AdvisedPool {
  readonly scheduler: Scheduler;
  readonly isAllowed: (workerId: string) => boolean;
  /** The workers in each request. */
  readonly requests: string[][] = [];
  readonly started: Run[] = [];
  nowMs = 10_000;

  constructor(workerCount: number, isAllowed: (workerId: string) => boolean) {
    this.isAllowed = isAllowed;
    this.scheduler = fixtures.scheduler(workerIds(workerCount), {
      queues: [testing.schedulingFixtures.queue("quick", { advice: ADVICE })],
    });
  }

  submit(jobId: string, given: Parameters<typeof testing.schedulingFixtures.step>[0]): void {
    this.scheduler.putJob(fixtures.job(jobId, [testing.schedulingFixtures.step(given)]), {
      acceptedRevision: 10,
      seenAtMs: this.nowMs,
    });
  }

  play(durationMs: number): void {
    for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs; this.nowMs += ANSWER_MS) {
      for (const order of this.scheduler.decide({ nowMs: this.nowMs, wallMs: this.nowMs })) {
        if (order.kind === "start") {
          expect(order.ticket).toBe(`ticket-${order.run.workerId}`);
          this.started.push(order.run);
        } else if (order.kind === "advise") {
          const { step, workerIds: asked } = order;
          this.requests.push([...asked]);
          const granted = asked.filter(this.isAllowed);
          const tickets = new Map(granted.map((id) => [id, `ticket-${id}`]));
          this.scheduler.recordAdvice(step, tickets, this.nowMs + VALID_MS);
        }
      }
    }
  }

  get startedOn(): string[] {
    return this.started.map(({ workerId }) => workerId);
  }
}

const WHOLE_WORKER = { ...fixtures.TOTAL, memoryMb: 100 };

// Guards against jobs that wait for good beside idle workers which their policy allows.
test.each([
  { name: "the second half of an idle pool", workerCount: 8, allowed: ["w5", "w6", "w7", "w8"] },
  { name: "one worker of a large idle pool", workerCount: 200, allowed: ["w200"] },
  { name: "the first worker alone", workerCount: 8, allowed: ["w1"] },
])("starts a task at once where the policy allows $name", ({ workerCount, allowed }) => {
  const pool = new AdvisedPool(workerCount, (id) => allowed.includes(id));
  pool.submit("j", { taskCount: 1 });
  pool.play(1_000);
  expect(pool.started).toHaveLength(1);
  expect(allowed).toContain(pool.startedOn[0]);
});

test("asks about further workers when those that it has tickets for are full", () => {
  const pool = new AdvisedPool(8, (id) => ["w1", "w8"].includes(id));
  pool.submit("j", { taskCount: 2, resources: WHOLE_WORKER });
  pool.play(500);
  expect(new Set(pool.startedOn)).toEqual(new Set(["w1", "w8"]));
});

test("asks about no worker without room for a step that has tickets", () => {
  const pool = new AdvisedPool(2, () => true);
  pool.submit("j", { taskCount: 3, resources: WHOLE_WORKER });
  pool.play(2_000);
  expect(pool.started).toHaveLength(2);
  expect(pool.requests).toHaveLength(1);
});

test("asks about refused workers again once the answer has expired, not before", () => {
  const allowed = new Set<string>();
  const pool = new AdvisedPool(4, (id) => allowed.has(id));
  pool.submit("j", { taskCount: 1 });
  pool.play(VALID_MS - 500);
  expect(pool.requests).toEqual([workerIds(4)]);
  allowed.add("w3");
  pool.play(1_000);
  expect(pool.startedOn).toEqual(["w3"]);
});

test("asks about a worker again whose process has restarted as one of another kind", () => {
  const allowed = new Set<string>();
  const pool = new AdvisedPool(1, (id) => allowed.has(id));
  pool.submit("j", { taskCount: 1 });
  pool.play(500);
  allowed.add("w1");
  const { scheduler, nowMs } = pool;
  const restarted = scheduler.putWorker(fixtures.workerInfo("w1", { startedUnixMs: 2 }), nowMs)!;
  const report = fixtures.emptyReport({ startedUnixMs: 2 });
  scheduler.applyReport(restarted, report, { sentAtMs: nowMs, receivedAtMs: nowMs });
  pool.play(500);
  expect(pool.startedOn).toEqual(["w1"]);
});

test("asks again about the worker that has refused its ticket", () => {
  const pool = new AdvisedPool(2, (id) => id === "w2");
  pool.submit("j", { taskCount: 1 });
  pool.play(200);
  const { scheduler, nowMs } = pool;
  const refused = { kind: "refused", reason: "ticket" } as const;
  scheduler.recordStartOutcome(pool.started[0]!, refused, { nowMs, isRepeated: false });
  pool.play(200);
  expect(pool.requests).toEqual([["w1", "w2"], ["w2"]]);
  expect(pool.startedOn).toEqual(["w2", "w2"]);
});

test("keeps nothing of a job that has ended while a request was in flight", () => {
  const pool = new AdvisedPool(2, () => true);
  pool.submit("j", { taskCount: 1 });
  const { scheduler, nowMs } = pool;
  const [order] = scheduler.decide({ nowMs, wallMs: nowMs });
  scheduler.cancelJob("j");
  const { step } = order as Extract<typeof order, { kind: "advise" }>;
  scheduler.recordAdvice(step, new Map([["w1", "ticket-w1"]]), nowMs + VALID_MS);
  expect(scheduler.decide({ nowMs, wallMs: nowMs })).toEqual([]);
});
