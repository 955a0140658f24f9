import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { expect, test } from "vitest";
import * as fixtures from "./test/fixtures.ts";
import type { Run } from "./job_record.ts";
import type { Order, Scheduler } from "./scheduler.ts";
import { WORKER_LEASE_MS } from "./worker_record.ts";

const NOW = { nowMs: 10_000, wallMs: 10_000 };

function starts(orders: readonly Order[]): string[] {
  return orders.flatMap((order) =>
    order.kind === "start"
      ? [`${order.run.task.name}#${order.run.runId} ${order.run.workerId}`]
      : []
  );
}

function stops(orders: readonly Order[]): string[] {
  return orders.flatMap((order) => order.kind === "stop" ? [order.run.task.name] : []);
}

function put(scheduler: Scheduler, job: ReturnType<typeof fixtures.job>): void {
  scheduler.putJob(job, { acceptedRevision: 10, seenAtMs: 9_900 });
}

/** Reports ends of a worker's tasks. */
function report(
  scheduler: Scheduler,
  workerId: string,
  ends: readonly { task: string; runId: number; kind: "done" | "failed" | "lapsed" }[],
): void {
  const worker = scheduler.workers.get(workerId)!;
  scheduler.applyReport(
    worker,
    fixtures.emptyReport({
      ends: ends.map((end, index) => ({
        ...end,
        endNumber: worker.ends.processed + index + 1,
        checkpoint: "",
      })),
    }),
    { sentAtMs: 9_000, receivedAtMs: 10_000 },
  );
}

/** Workers in simulated time, with more short tasks than they have capacity for. */
class OverloadedPool {
  #nowMs = 10_000;
  #jobCount = 0;
  readonly #endsAtMs = new Map<Run, number>();
  readonly #scheduler: Scheduler;
  readonly #random: testing.seededRandom.SeededRandom;

  constructor(scheduler: Scheduler, random: testing.seededRandom.SeededRandom) {
    this.#scheduler = scheduler;
    this.#random = random;
  }

  play(durationMs: number): void {
    for (const untilMs = this.#nowMs + durationMs; this.#nowMs < untilMs; this.#nowMs += 50) {
      while (this.#scheduler.activeJobs.size < 30) {
        this.#submit();
      }
      for (const [run, endsAtMs] of this.#endsAtMs) {
        if (endsAtMs <= this.#nowMs) {
          this.end(run, "done");
        }
      }
      for (const order of this.#scheduler.decide({ nowMs: this.#nowMs, wallMs: this.#nowMs })) {
        if (order.kind === "start" && !order.run.step.spec.isLasting) {
          this.#endsAtMs.set(order.run, this.#nowMs + this.#random.between(400, 2_000));
        }
      }
    }
  }

  end(run: Run, kind: "done" | "stopped"): void {
    this.#endsAtMs.delete(run);
    const worker = this.#scheduler.workers.get(run.workerId)!;
    const end = { endNumber: worker.ends.processed + 1, task: run.task.name, runId: run.runId };
    const running = [...worker.runs.values()].filter((other) => other !== run).map((other) => ({
      task: other.task.name,
      runId: other.runId,
      checkpoint: "",
      percent: 50,
      load: 0,
    }));
    this.#scheduler.applyReport(
      worker,
      fixtures.emptyReport({ running, ends: [{ ...end, kind, checkpoint: "" }] }),
      { sentAtMs: this.#nowMs - 1, receivedAtMs: this.#nowMs },
    );
  }

  #submit(): void {
    const step = testing.schedulingFixtures.step({
      taskCount: this.#random.between(1, 8),
      resources: {
        cpuMillicores: this.#random.between(5, 15) * 100,
        memoryMb: 1_000,
        gpuCount: 0,
      },
    });
    put(this.#scheduler, fixtures.job(`short-${++this.#jobCount}`, [step]));
  }
}

test("starts a step once all tasks of its preceding steps are done", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(
    scheduler,
    fixtures.job("j", [
      testing.schedulingFixtures.step({ taskCount: 2 }),
      testing.schedulingFixtures.step({ afterSteps: [0] }),
    ]),
  );
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.0#1 w1", "j.0.0.1#1 w1"]);
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 1, kind: "done" }]);
  expect(starts(scheduler.decide(NOW))).toEqual([]);
  report(scheduler, "w1", [{ task: "j.0.0.1", runId: 1, kind: "done" }]);
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.1.0#1 w1"]);
  report(scheduler, "w1", [{ task: "j.0.1.0", runId: 1, kind: "done" }]);
  const job = scheduler.jobs.get("j")!;
  expect([job.state, job.storedState]).toEqual(["complete", "queued"]);
});

test("never exceeds a worker's resources; further tasks wait for a run to end", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  const resources = { cpuMillicores: 7_000, memoryMb: 100, gpuCount: 0 };
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 3, resources })]));
  expect(starts(scheduler.decide(NOW))).toHaveLength(2);
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 1, kind: "done" }]);
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.2#1 w1"]);
});

test("never exceeds a workspace's resource limit", () => {
  const limit = { cpuMillicores: 2_500, memoryMb: 0, gpuCount: 0 };
  const workspaces = [{ name: "acme", keys: [], weight: 10, limit }];
  const scheduler = fixtures.scheduler(["w1", "w2"], { workspaces });
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 6 })]));
  expect(starts(scheduler.decide(NOW))).toHaveLength(2);
});

test("fails a job once a task has as many failed runs as its queue allows", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 2 })]));
  scheduler.decide(NOW);
  for (const runId of [1, 2]) {
    report(scheduler, "w1", [{ task: "j.0.0.0", runId, kind: "failed" }]);
    expect(starts(scheduler.decide(NOW))).toEqual([`j.0.0.0#${runId + 1} w1`]);
  }
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 3, kind: "failed" }]);
  expect(scheduler.jobs.get("j")!.state).toBe("failed");
  expect(stops(scheduler.decide(NOW))).toEqual(["j.0.0.1"]);
});

test("counts a failed run once, also if a previous owner has stored it", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  scheduler.putJob(fixtures.job("j", [testing.schedulingFixtures.step()]), {
    acceptedRevision: 10,
    seenAtMs: 9_900,
    progress: {
      state: "active",
      steps: [{ occurrence: 0, step: 0, doneTasks: [], failedRuns: [[0, [1, 2]]] }],
    },
  });
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 2, kind: "failed" }]);
  expect(scheduler.jobs.get("j")!.state).toBe("active");
});

test("stops the runs of a cancelled job and starts no others", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  scheduler.decide(NOW);
  scheduler.cancelJob("j");
  const orders = scheduler.decide(NOW);
  expect([starts(orders), stops(orders)]).toEqual([[], ["j.0.0.0"]]);
});

test("places nothing on a worker with a run of an unknown job, and does not restart its task", () => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  const running = [{ task: "j.0.0.0", runId: 1, checkpoint: "", percent: 10, load: 0 }];
  const w1 = scheduler.workers.get("w1")!;
  scheduler.applyReport(w1, fixtures.emptyReport({ running }), {
    sentAtMs: 9_000,
    receivedAtMs: 9_001,
  });
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 2 })]));
  expect(starts(scheduler.decide(NOW))).toEqual([]);
  scheduler.applyReport(w1, fixtures.emptyReport({ running }), {
    sentAtMs: 9_500,
    receivedAtMs: 9_501,
  });
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.1#1 w1"]);
});

const LEASE_ENDS = [
  { name: "at a slow owner's second report", afterMs: 1_000, isStillThere: true },
  {
    name: "after the longest lease of a previous owner",
    afterMs: WORKER_LEASE_MS,
    isStillThere: true,
  },
  { name: "after that lease on a slow clock", afterMs: WORKER_LEASE_MS * 1.02, isStillThere: true },
  { name: "later than that", afterMs: WORKER_LEASE_MS * 1.02 + 500, isStillThere: false },
];

test.each(LEASE_ENDS)(
  "keeps a run found at a takeover until its lease must have expired: $name",
  ({ afterMs, isStillThere }) => {
    const scheduler = fixtures.unsettledScheduler(2);
    const worker = scheduler.putWorker(fixtures.workerInfo("w1"), 0)!;
    put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
    const running = [{ task: "j.0.0.0", runId: 1, checkpoint: "", percent: 10, load: 0 }];
    scheduler.applyReport(worker, fixtures.emptyReport({ running }), {
      sentAtMs: 99,
      receivedAtMs: 100,
    });
    scheduler.expireLeases(100 + afterMs);
    expect(worker.runs.size).toBe(isStillThere ? 1 : 0);
  },
);

test.each([1, 2, 3, 4])(
  "places a long-running task that lost its worker within 3 s in an overloaded pool, seed %s",
  (seed) => {
    const random = new testing.seededRandom.SeededRandom(seed);
    const scheduler = fixtures.scheduler(["w1", "w2", "w3", "w4", "w5", "w6"]);
    const longRunning = testing.schedulingFixtures.step({
      taskCount: 4,
      resources: { cpuMillicores: 4_000, memoryMb: 4_000, gpuCount: 0 },
      isLasting: true,
      maxTasksPerWorker: 1,
    });
    put(scheduler, fixtures.job("lasting", [longRunning]));
    const world = new OverloadedPool(scheduler, random);
    world.play(2_000);
    const lost = scheduler.jobs.get("lasting")!.runs()[0]!;
    scheduler.workers.get(lost.workerId)!.cordon = "maintenance";
    world.end(lost, "stopped");
    world.play(3_000);
    expect(scheduler.jobs.get("lasting")!.runs()).toHaveLength(4);
  },
);

test("does not acknowledge an end of an unknown job", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 1, kind: "done" }]);
  expect(scheduler.workers.get("w1")!.ends.processed).toBe(0);
});

function listedVm(
  workerId: string,
  state: schema.scheduling.VmState,
): schema.scheduling.ListedVm {
  return {
    vm: `vm-${workerId}`,
    pool: "pool",
    state,
    total: fixtures.TOTAL,
    labels: [],
    workerId: state === "up" ? workerId : undefined,
  };
}

test.each([
  {
    name: "restarts the tasks of a worker elsewhere when its VM is listed as down",
    lists: [[listedVm("w1", "down"), listedVm("w2", "up")]],
    expected: ["j.0.0.0#2 w2"],
  },
  {
    name: "keeps a worker whose VM is missing once, as it may have moved between two pages",
    lists: [[listedVm("w2", "up")]],
    expected: [],
  },
  {
    name: "drops a worker whose VM is missing from two lists in a row",
    lists: [[listedVm("w2", "up")], [listedVm("w2", "up")]],
    expected: ["j.0.0.0#2 w2"],
  },
  {
    name: "keeps a worker whose VM is back on the next list",
    lists: [
      [listedVm("w2", "up")],
      [listedVm("w1", "up"), listedVm("w2", "up")],
      [listedVm("w2", "up")],
    ],
    expected: [],
  },
])("$name", ({ lists, expected }) => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.0#1 w1"]);
  lists.forEach((listed) => scheduler.applyVmList(listed, { askedAtMs: 10_100, nowMs: 10_105 }));
  expect(starts(scheduler.decide(NOW))).toEqual(expected);
});

const END = { endedAtMs: 10_000, startedUnixMs: fixtures.workerInfo("w1").startedUnixMs };
const UP = [listedVm("w1", "up")];

test.each<{
  name: string;
  startedUnixMs?: number;
  then?: (scheduler: Scheduler) => void;
  isAdded: boolean;
}>([
  { name: "nothing else is known", isAdded: false },
  { name: "it has started anew", startedUnixMs: END.startedUnixMs + 1, isAdded: true },
  {
    name: "a later list of VMs names it as running",
    then: (scheduler) => scheduler.applyVmList(UP, { askedAtMs: 10_001, nowMs: 10_005 }),
    isAdded: true,
  },
  {
    name: "a list of VMs that was requested before its end names it as running",
    then: (scheduler) => scheduler.applyVmList(UP, { askedAtMs: 9_999, nowMs: 10_005 }),
    isAdded: false,
  },
  {
    name: "its registration was removed and is back",
    then: (scheduler) => scheduler.recordWorkerUnlisted("w1"),
    isAdded: true,
  },
])("adds a worker that has ended again: $isAdded, when $name", ({ then, isAdded, ...changed }) => {
  const scheduler = fixtures.scheduler(["w1"]);
  scheduler.dropWorker(scheduler.workers.get("w1")!, END.endedAtMs, "test");
  then?.(scheduler);
  const info = { ...fixtures.workerInfo("w1"), ...changed };
  expect(scheduler.putWorker(info, 10_010) !== undefined).toBe(isAdded);
});

/** The previous owner of `unsettledScheduler` may give orders until then. */
const PREVIOUS_OWNER_ENDS_AT_MS = 1_600;

test.each<{
  name: string;
  lists: { askedAtMs: number; listed: schema.scheduling.ListedVm[] }[];
  isSettled: boolean;
}>([
  {
    name: "a worker that started later has not reported",
    lists: [
      { askedAtMs: 1_700, listed: [listedVm("old", "up"), listedVm("new", "moving")] },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("new", "up")] },
    ],
    isSettled: true,
  },
  {
    name: "a worker of its predecessor's time has not reported",
    lists: [
      { askedAtMs: 1_700, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
    ],
    isSettled: false,
  },
  {
    name: "a worker that has not reported is gone",
    lists: [
      { askedAtMs: 1_700, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("silent", "down")] },
    ],
    isSettled: true,
  },
  {
    name: "a VM was missing from the first list",
    lists: [
      { askedAtMs: 1_700, listed: [listedVm("old", "up")] },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
      { askedAtMs: 2_200, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
    ],
    isSettled: false,
  },
  {
    name: "a VM is missing from one later list",
    lists: [
      { askedAtMs: 1_700, listed: [listedVm("old", "up"), listedVm("silent", "up")] },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("other", "up")] },
    ],
    isSettled: false,
  },
  {
    name: "its predecessor may have given orders to a worker that was moving on an earlier list",
    lists: [
      { askedAtMs: 300, listed: [listedVm("old", "up"), listedVm("new", "moving")] },
      {
        askedAtMs: PREVIOUS_OWNER_ENDS_AT_MS,
        listed: [listedVm("old", "up"), listedVm("new", "up")],
      },
      { askedAtMs: 1_950, listed: [listedVm("old", "up"), listedVm("new", "up")] },
    ],
    isSettled: false,
  },
])("settles a takeover: $isSettled, when $name", ({ lists, isSettled }) => {
  const scheduler = fixtures.unsettledScheduler();
  const old = scheduler.putWorker(fixtures.workerInfo("old"), 0)!;
  scheduler.applyReport(old, fixtures.emptyReport(), { sentAtMs: 10, receivedAtMs: 20 });
  for (const { askedAtMs, listed } of lists) {
    // Another worker keeps coming up, as VMs move all the time.
    const passing = listedVm(`passing-${askedAtMs}`, "up");
    const wasMoving = lists.map((list) => listedVm(`passing-${list.askedAtMs}`, "moving"));
    scheduler.applyVmList(
      [...listed, passing, ...wasMoving.filter(({ vm }) => vm !== passing.vm)],
      { askedAtMs, nowMs: askedAtMs + 5 },
    );
  }
  expect(scheduler.isSettled).toBe(isSettled);
});

test("does not settle a takeover while the VM of an unreported worker is not listed", () => {
  const scheduler = fixtures.unsettledScheduler();
  scheduler.putWorker(fixtures.workerInfo("w1"), 0);
  scheduler.applyVmList([], { askedAtMs: 10_100, nowMs: 10_105 });
  expect(scheduler.isSettled).toBe(false);
  scheduler.applyVmList([listedVm("w1", "down")], { askedAtMs: 10_350, nowMs: 10_355 });
  expect(scheduler.isSettled).toBe(true);
});

test("keeps an unresponsive worker's runs until its lease expires on the slowest clock", () => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  scheduler.decide(NOW);
  const worker = scheduler.workers.get("w1")!;
  worker.setClock(1_000, 10_000);
  worker.extendLease(10_000, 6_000);
  scheduler.expireLeases(16_100);
  expect(starts(scheduler.decide(NOW))).toEqual([]);
  scheduler.expireLeases(16_300);
  expect(starts(scheduler.decide(NOW))).toHaveLength(1);
});

test.each([
  { idleMs: 0, worker: "that has just reported" },
  { idleMs: 100_000, worker: "that has been idle for 100 s" },
])("grants a worker $worker no longer lease than a new owner allows for", ({ idleMs }) => {
  const worker = fixtures.scheduler(["w1"]).workers.get("w1")!;
  worker.setClock(1_000, 10_000);
  const slowestClockMs = 1_000 + idleMs * 0.98;
  const leaseUntilMs = worker.extendLease(10_000 + idleMs, WORKER_LEASE_MS);
  expect(leaseUntilMs).toBeLessThanOrEqual(slowestClockMs + WORKER_LEASE_MS);
});

const REFUSED_STARTS = [
  { name: "the first attempt was refused", isRepeated: false, startsAgain: true },
  { name: "an earlier attempt got no answer", isRepeated: true, startsAgain: false },
];

test.each(REFUSED_STARTS)(
  "restarts a task after a refused start: $startsAgain, when $name",
  (given) => {
    const scheduler = fixtures.scheduler(["w1"]);
    put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
    const [order] = scheduler.decide(NOW);
    if (order?.kind !== "start") {
      throw new Error("expected a start");
    }
    const { isRepeated } = given;
    scheduler.recordStartOutcome(order.run, { kind: "refused", reason: "old" }, {
      nowMs: 10_010,
      isRepeated,
    });
    expect(starts(scheduler.decide(NOW)).length > 0).toBe(given.startsAgain);
  },
);

test.each([
  { term: 1, runId: 1 },
  { term: 2, runId: 1_001 },
])("uses run ids from $runId in term $term, above those of earlier terms", ({ term, runId }) => {
  const scheduler = fixtures.scheduler(["w1"], { term });
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  expect(starts(scheduler.decide(NOW))).toEqual([`j.0.0.0#${runId} w1`]);
});

test("starts all tasks of a gang or none", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  const resources = { cpuMillicores: 6_000, memoryMb: 100, gpuCount: 0 };
  put(
    scheduler,
    fixtures.job("big", [
      testing.schedulingFixtures.step({ taskCount: 3, resources, isGang: true }),
    ]),
  );
  put(
    scheduler,
    fixtures.job("fits", [
      testing.schedulingFixtures.step({ taskCount: 2, resources, isGang: true }),
    ]),
  );
  expect(starts(scheduler.decide(NOW))).toEqual(["fits.0.0.0#1 w1", "fits.0.0.1#1 w1"]);
  report(scheduler, "w1", [{ task: "fits.0.0.0", runId: 1, kind: "done" }]);
  expect(scheduler.jobs.get("fits")!.state).toBe("complete");
});

test("starts occurrences of a timetable when they are due, also while earlier ones run", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  const timetable = { occurrenceCount: 3, startUnixMs: 9_000, intervalMs: 1_000 };
  const spec = { payload: "p", steps: [testing.schedulingFixtures.step()], timetable };
  put(scheduler, fixtures.job("j", [], { spec }));
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.0#1 w1", "j.1.0.0#1 w1"]);
});

test("restarts a long-running task when it ends, even if successfully", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ isLasting: true })]));
  scheduler.decide(NOW);
  report(scheduler, "w1", [{ task: "j.0.0.0", runId: 1, kind: "done" }]);
  expect(starts(scheduler.decide(NOW))).toEqual(["j.0.0.0#2 w1"]);
});

test("starts steps on a queue with advice only with tickets and on the advised workers", () => {
  const advice = { decideMs: 10, eachMs: 1, validMs: 3_000 };
  const scheduler = fixtures.scheduler(["w1", "w2"], {
    queues: [testing.schedulingFixtures.queue("quick", { advice })],
  });
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  const [ask] = scheduler.decide(NOW);
  if (ask?.kind !== "advise") {
    throw new Error("expected an advice request");
  }
  scheduler.recordAdvice(ask.step, new Map([["w2", "ticket"]]), 20_000);
  const [start] = scheduler.decide(NOW);
  expect(start).toMatchObject({ kind: "start", ticket: "ticket", run: { workerId: "w2" } });
});

test("excludes tasks held back by a workspace's limit from the demand", () => {
  const limit = { cpuMillicores: 3_000, memoryMb: 0, gpuCount: 0 };
  const workspaces = [{ name: "acme", keys: [], weight: 10, limit }];
  const scheduler = fixtures.scheduler(["w1"], { workspaces });
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 50 })]));
  expect(scheduler.demandByPool(NOW, 0).get("pool")?.cpuMillicores).toBe(3_000);
  scheduler.decide(NOW);
  expect(scheduler.demandByPool(NOW, 0).get("pool")?.cpuMillicores).toBe(3_000);
});

test.each([
  { name: "one crash", count: 1, minWorkers: undefined },
  { name: "three crashes", count: 3, minWorkers: 2 },
])(
  "sizes a pool whose workers are busy for a suspect of $name that waits",
  ({ count, minWorkers }) => {
    const scheduler = fixtures.scheduler(["w1"]);
    put(scheduler, fixtures.job("busy", [testing.schedulingFixtures.step({ isLasting: true })]));
    scheduler.decide(NOW);
    scheduler.putJob(fixtures.job("suspect", [testing.schedulingFixtures.step()]), {
      acceptedRevision: 1,
      seenAtMs: 0,
      progress: {
        state: "active",
        steps: [{
          occurrence: 0,
          step: 0,
          doneTasks: [],
          failedRuns: [],
          crashes: [{ task: 0, count, aloneOn: [] }],
        }],
      },
    });
    expect(scheduler.minWorkersByPool(NOW.nowMs).get("pool")).toBe(minWorkers);
  },
);

test("does not add a retired job again, and acknowledges its last ends", () => {
  const scheduler = fixtures.scheduler(["w"]);
  scheduler.retireJob("j", "complete");
  scheduler.putJob(fixtures.job("j", [testing.schedulingFixtures.step()]), {
    acceptedRevision: 10,
    seenAtMs: 0,
  });
  expect(scheduler.decide({ nowMs: 10_000, wallMs: 10_000 })).toEqual([]);
  const worker = scheduler.workers.get("w")!;
  const end = { endNumber: 1, task: "j.0.0.0", runId: 1, kind: "done", checkpoint: "" } as const;
  scheduler.applyReport(worker, fixtures.emptyReport({ ends: [end] }), {
    sentAtMs: 10_000,
    receivedAtMs: 10_001,
  });
  expect([worker.ends.processed, worker.unknownTasks.size]).toEqual([1, 0]);
});

test("stops a run of a retired job by its name and places nothing on its worker meanwhile", () => {
  const scheduler = fixtures.scheduler(["w"]);
  scheduler.retireJob("j", "cancelled");
  scheduler.putJob(fixtures.job("k", [testing.schedulingFixtures.step()]), {
    acceptedRevision: 10,
    seenAtMs: 0,
  });
  const worker = scheduler.workers.get("w")!;
  const running = [{ task: "j.0.0.0", runId: 3, checkpoint: "", percent: 0, load: 0 }];
  scheduler.applyReport(worker, fixtures.emptyReport({ running }), {
    sentAtMs: 10_000,
    receivedAtMs: 10_001,
  });
  expect(scheduler.decide({ nowMs: 10_002, wallMs: 10_002 })).toEqual([
    { kind: "stop-stray", workerId: "w", task: "j.0.0.0", runId: 3 },
  ]);
});

test("packs long-running tasks on one worker rather than on one due for maintenance", () => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  scheduler.workers.get("w2")!.isLeavingSoon = true;
  const longRunning = testing.schedulingFixtures.step({
    taskCount: 5,
    isLasting: true,
    resources: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
  });
  put(scheduler, fixtures.job("j", [longRunning]));
  const workers = scheduler.decide(NOW).flatMap((order) =>
    order.kind === "start" ? [order.run.workerId] : []
  );
  expect(workers).toEqual(["w1", "w1", "w1", "w1", "w1"]);
});

test("does not count a long-running task as available while a previous owner may be stopping it", () => {
  const scheduler = fixtures.scheduler(["w"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ isLasting: true })]));
  const worker = scheduler.workers.get("w")!;
  const running = [{ task: "j.0.0.0", runId: 1, checkpoint: "", percent: 100, load: 0 }];
  scheduler.applyReport(worker, fixtures.emptyReport({ running }), {
    sentAtMs: 10_000,
    receivedAtMs: 10_001,
  });
  const [run] = [...worker.runs.values()];
  expect(run!.mayBeStoppingUntilMs).toBeGreaterThan(10_001 + 900);
});

const CAPACITY_CHANGES = [
  {
    name: "shrinks below what it runs",
    totalMillicores: 1_000,
    isConfirmed: true,
    stopped: [],
    started: [],
  },
  {
    name: "shrinks below unconfirmed starts",
    totalMillicores: 1_000,
    isConfirmed: false,
    stopped: ["j.0.0.0", "j.0.0.1"],
    started: [],
  },
  {
    name: "shrinks to nothing",
    totalMillicores: 0,
    isConfirmed: true,
    stopped: [],
    started: [],
  },
  {
    name: "shrinks to what it runs",
    totalMillicores: 2_000,
    isConfirmed: false,
    stopped: [],
    started: [],
  },
  {
    name: "grows",
    totalMillicores: 3_000,
    isConfirmed: true,
    stopped: [],
    started: ["j.0.0.2#1 w1"],
  },
];

test.each(CAPACITY_CHANGES)(
  "starts nothing beyond the capacity of a worker that $name, and stops no confirmed run",
  ({ totalMillicores, isConfirmed, stopped, started }) => {
    const scheduler = fixtures.scheduler(["w1"]);
    const resize = (cpuMillicores: number) =>
      scheduler.putWorker(
        fixtures.workerInfo("w1", { total: { ...fixtures.TOTAL, cpuMillicores } }),
        10_000,
      );
    resize(2_000);
    put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 4 })]));
    for (const order of scheduler.decide(NOW)) {
      if (order.kind === "start" && isConfirmed) {
        const outcome = { kind: "done", workerClockMs: 1_000 } as const;
        scheduler.recordStartOutcome(order.run, outcome, { nowMs: 10_000, isRepeated: false });
      }
    }
    resize(totalMillicores);
    const orders = scheduler.decide(NOW);
    expect([starts(orders), stops(orders)]).toEqual([started, stopped]);
  },
);

test("withdraws all runs of a gang if a worker's capacity shrinks before one of them is confirmed", () => {
  const scheduler = fixtures.scheduler(["w1", "w2"]);
  const resize = (workerId: string, cpuMillicores: number) =>
    scheduler.putWorker(
      fixtures.workerInfo(workerId, { total: { ...fixtures.TOTAL, cpuMillicores } }),
      10_000,
    );
  resize("w1", 1_000);
  resize("w2", 1_000);
  const step = testing.schedulingFixtures.step({ taskCount: 2, isGang: true });
  put(scheduler, fixtures.job("j", [step]));
  expect(starts(scheduler.decide(NOW))).toHaveLength(2);
  resize("w2", 500);
  expect(stops(scheduler.decide(NOW))).toEqual(["j.0.0.0", "j.0.0.1"]);
});

test("uses a worker of normal capacity beside one that has shrunk below what it runs", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step({ taskCount: 4 })]));
  scheduler.decide(NOW);
  const total = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };
  scheduler.putWorker(fixtures.workerInfo("w1", { total }), 10_000);
  const w2 = scheduler.putWorker(fixtures.workerInfo("w2"), 10_000)!;
  scheduler.applyReport(w2, fixtures.emptyReport(), { sentAtMs: 9_000, receivedAtMs: 10_000 });
  put(scheduler, fixtures.job("k", [testing.schedulingFixtures.step()]));
  expect(starts(scheduler.decide(NOW))).toEqual(["k.0.0.0#1 w2"]);
});

// Guards against a start that is carried out late, after its run has been given up.
test.each([
  { name: "the first order", isRepeated: false, expected: ["start j.0.0.0#2"] },
  { name: "a repetition", isRepeated: true, expected: ["stop j.0.0.0#1"] },
])("when $name of a start is refused, orders $expected", ({ isRepeated, expected }) => {
  const scheduler = fixtures.scheduler(["w1"]);
  put(scheduler, fixtures.job("j", [testing.schedulingFixtures.step()]));
  const [order] = scheduler.decide(NOW);
  const { run } = order as Extract<typeof order, { kind: "start" }>;
  const refused = { kind: "refused", reason: "429" } as const;
  scheduler.recordStartOutcome(run, refused, { nowMs: 10_000, isRepeated });
  const orders = scheduler.decide(NOW).flatMap((next) =>
    "run" in next ? [`${next.kind} ${next.run.task.name}#${next.run.runId}`] : []
  );
  expect(orders).toEqual(expected);
});

/** A gang of two tasks at work, whose end as done is reported for a run with `endedRunId`, or its own run. */
function gangFixture(steps: readonly schema.scheduling.Step[], endedRunId?: number): string[] {
  const scheduler = fixtures.scheduler(["w1", "w2", "w3"], { term: 2 });
  scheduler.putJob(fixtures.job("j", steps), { acceptedRevision: 10, seenAtMs: 9_900 });
  const now = { nowMs: 10_000, wallMs: 10_000 };
  const starts = scheduler.decide(now).flatMap((order) => order.kind === "start" ? [order] : []);
  for (const { run } of starts) {
    const outcome = { kind: "done", workerClockMs: 1_000 } as const;
    scheduler.recordStartOutcome(run, outcome, { nowMs: 9_000, isRepeated: false });
  }
  const usedIds = starts.map(({ run }) => run.workerId);
  const workers = [...scheduler.workers.values()];
  const other = workers.find(({ info }) => !usedIds.includes(info.workerId))!;
  const ends = [0, 1].map((index) => ({
    endNumber: index + 1,
    task: `j.0.0.${index}`,
    runId: endedRunId ?? starts[0]!.run.runId,
    kind: "done" as const,
    checkpoint: "",
  }));
  const at = { sentAtMs: 9_990, receivedAtMs: 10_000 };
  scheduler.applyReport(other, fixtures.emptyReport({ ends }), at);
  return scheduler.decide(now).flatMap((order) =>
    order.kind === "stop" ? [order.run.task.name] : []
  );
}

const GANG = testing.schedulingFixtures.step({ taskCount: 2, isGang: true, maxTasksPerWorker: 1 });
const AFTER_GANG = testing.schedulingFixtures.step({ afterSteps: [0] });

// Guards against the members of a gang that work on after an earlier run of the gang has completed it.
test.each([
  { name: "that another run has completed", steps: [GANG, AFTER_GANG], endedRunId: 5 },
  { name: "that another run has completed as the job's last step", steps: [GANG], endedRunId: 5 },
])("stops each run of a gang once $name", ({ steps, endedRunId }) => {
  expect(gangFixture(steps, endedRunId)).toEqual(["j.0.0.0", "j.0.0.1"]);
});

test("lets the members of a gang end whose run is done", () => {
  expect(gangFixture([GANG, AFTER_GANG])).toEqual([]);
});

test("orders one stop for a run that is evacuated and then cancelled", () => {
  const scheduler = fixtures.scheduler(["w1"]);
  const step = testing.schedulingFixtures.step({ isLasting: true });
  scheduler.putJob(fixtures.job("j", [step]), { acceptedRevision: 10, seenAtMs: 9_900 });
  const now = { nowMs: 10_000, wallMs: 10_000 };
  scheduler.decide(now).forEach((order) =>
    order.kind === "start" && scheduler.evacuate(order.run, "test")
  );
  scheduler.cancelJob("j");
  expect(scheduler.decide(now).map(({ kind }) => kind)).toEqual(["stop"]);
});
