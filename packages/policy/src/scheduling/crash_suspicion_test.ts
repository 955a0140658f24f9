import * as testing from "@jackdawlink/testing";
import { describe, expect, test } from "vitest";
import { CrashHistory } from "./crash_history.ts";
import * as crashSuspicion from "./crash_suspicion.ts";
import { JobRecord, type Run } from "./job_record.ts";
import type { WorkerRecord } from "./worker_record.ts";
import * as fixtures from "./test/fixtures.ts";

function job(jobId: string): JobRecord {
  return new JobRecord(fixtures.job(jobId, [testing.schedulingFixtures.step()]), {
    acceptedRevision: 1,
    seenAtMs: 0,
  });
}

function addRun(worker: WorkerRecord, owner: JobRecord, overrides: Partial<Run> = {}): Run {
  const step = owner.step(0, 0)!;
  const run = fixtures.run(step, worker, overrides);
  worker.addRun(run);
  return run;
}

interface Crash {
  readonly vm: string;
  /** Other jobs at work on the VM. */
  readonly others?: number;
  /** Whether all other VMs of the rack crash with it. */
  readonly withRack?: boolean;
  readonly delivery?: Run["delivery"];
}

/** Records crashes of VMs under one task, and tells whether it was given up after each. */
function verdicts(crashes: readonly Crash[], { idleCrash = false } = {}): boolean[] {
  const suspicion = new crashSuspicion.CrashSuspicion();
  const suspect = job("suspect");
  if (idleCrash) {
    suspicion.recordCrash(fixtures.openWorker("idle", { labels: ["rack-9"] }), 0);
  }
  return crashes.map(({ vm, others = 0, withRack = false, delivery = "sent" }, index) => {
    const atMs = 1_000 * (index + 1);
    const rack = `rack-${index}`;
    const worker = fixtures.openWorker(`w${index}`, { vm, labels: [rack] });
    addRun(worker, suspect, { orderedAtMs: atMs - 50, delivery });
    for (let other = 0; other < others; other++) {
      addRun(worker, job(`other-${index}-${other}`));
    }
    suspicion.recordCrash(worker, atMs);
    const neighbour = fixtures.openWorker(`n${index}`, {
      vm: `neighbour-${index}`,
      labels: [rack],
    });
    if (withRack) {
      addRun(neighbour, job(`neighbour-${index}`));
      suspicion.recordCrash(neighbour, atMs);
    }
    suspicion.recordVmList(atMs + 300);
    return suspicion.judge(withRack ? [] : [neighbour], atMs + 310)
      .some(({ isConvicted }) => isConvicted);
  });
}

describe("a task is given up", () => {
  test.each([
    {
      name: "after one shared and two lone crashes",
      crashes: [{ vm: "a", others: 5 }, { vm: "b" }, { vm: "c" }],
      expected: [false, false, true],
    },
    {
      name: "after three lone crashes",
      crashes: [{ vm: "a" }, { vm: "b" }, { vm: "c" }],
      expected: [false, false, true],
    },
    {
      name: "never for crashes that it shared with other jobs",
      crashes: ["a", "b", "c", "d", "e", "f"].map((vm) => ({ vm, others: 1 })),
      expected: [false, false, false, false, false, false],
    },
    {
      name: "not while only one VM crashed that its job had to itself",
      crashes: [{ vm: "a" }, { vm: "a" }, { vm: "a" }],
      expected: [false, false, false],
    },
    {
      name: "not for racks that fail as a whole",
      crashes: [
        { vm: "a", others: 1 },
        { vm: "b", withRack: true },
        { vm: "c", withRack: true },
        { vm: "d" },
      ],
      expected: [false, false, false, false],
    },
    {
      name: "not for starts that a VM refused, as it was down already",
      crashes: ["a", "b", "c"].map((vm) => ({ vm, delivery: "refused" as const })),
      expected: [false, false, false],
    },
  ])("$name", ({ crashes, expected }) => {
    expect(verdicts(crashes)).toEqual(expected);
  });

  test("one crash later while VMs crash that run nothing", () => {
    const crashes = ["a", "b", "c"].map((vm) => ({ vm }));
    expect(verdicts([{ vm: "z", others: 3 }, ...crashes], { idleCrash: true }))
      .toEqual([false, false, false, true]);
  });
});

describe("after a crash", () => {
  function crashOf(ages: readonly number[]): Run[] {
    const worker = fixtures.openWorker("w");
    const runs = ages.map((ageMs, index) =>
      addRun(worker, job(`j${index}`), { orderedAtMs: 10_000 - ageMs })
    );
    new crashSuspicion.CrashSuspicion().recordCrash(worker, 10_000);
    return runs;
  }

  test("those that started last start apart, the others as usual", () => {
    const isolations = crashOf([200, 210, 900, 4_000])
      .map(({ task }) => crashSuspicion.isolationOf(task, 10_000));
    expect(isolations).toEqual(["preferred", "preferred", "none", "none"]);
  });

  test.each([
    { name: "a second crash", count: 2, stored: 2, afterMs: 0, isolation: "required", held: false },
    {
      name: "a long wait",
      count: 2,
      stored: 2,
      afterMs: 3_000,
      isolation: "preferred",
      held: false,
    },
    {
      name: "a third crash",
      count: 3,
      stored: 3,
      afterMs: 9_000,
      isolation: "required",
      held: false,
    },
    {
      name: "one that is not stored",
      count: 1,
      stored: 0,
      afterMs: 0,
      isolation: "preferred",
      held: false,
    },
    {
      name: "two that are not stored",
      count: 2,
      stored: 0,
      afterMs: 0,
      isolation: "required",
      held: true,
    },
    {
      name: "a third that is not stored",
      count: 3,
      stored: 2,
      afterMs: 0,
      isolation: "required",
      held: true,
    },
  ])("$name decides on the next start", ({ count, stored, afterMs, isolation, held }) => {
    const [run] = crashOf([10, 10]);
    const { task } = run!;
    task.crashes!.count = count;
    task.crashes!.storedCount = stored;
    expect([crashSuspicion.isolationOf(task, 10_000 + afterMs), crashSuspicion.isHeld(task)])
      .toEqual([isolation, held]);
  });
});

test("after a takeover, a task with two stored crashes starts only on a VM of its own", () => {
  const restored = job("j");
  const crashes = [{ task: 0, count: 2, aloneOn: [] }];
  restored.restore({
    state: "active",
    steps: [{ occurrence: 0, step: 0, doneTasks: [], failedRuns: [], crashes }],
  });
  expect(crashSuspicion.isolationOf(restored.step(0, 0)!.task(0)!, 10_000)).toBe("required");
});

test.each([
  {
    name: "a worker whose VM is moved or maintained",
    cordon: "its VM is moving",
    isDraining: false,
  },
  { name: "a worker that drains", cordon: undefined, isDraining: true },
])("$name does not count as crashed", ({ cordon, isDraining }) => {
  const worker = fixtures.openWorker("w", { isDraining });
  worker.cordon = cordon;
  expect(crashSuspicion.canHaveCrashed(worker)).toBe(false);
});

test.each([
  { name: "just started", isLasting: true, isSuspect: true },
  { name: "not reported since its start", isLasting: true, crashAtMs: 9_000, isSuspect: true },
  {
    name: "on a VM that a list shows after 2 s",
    isLasting: true,
    listAtMs: 3_000,
    isSuspect: false,
  },
  { name: "reported after 2 s at work", isLasting: true, reportedAtMs: 3_000, isSuspect: false },
  { name: "taken over at work", isLasting: true, isTakenOver: true, isSuspect: false },
  { name: "not long-running", isLasting: false, reportedAtMs: 3_000, isSuspect: true },
])("a crash counts against a task that was $name: $isSuspect", (given) => {
  const { isLasting, crashAtMs = 3_010, listAtMs, isTakenOver = false, isSuspect } = given;
  const owner = new JobRecord(
    fixtures.job("j", [testing.schedulingFixtures.step({ isLasting })]),
    { acceptedRevision: 1, seenAtMs: 0 },
  );
  const worker = fixtures.openWorker("w", { vm: "a" });
  const { task } = addRun(worker, owner, {
    orderedAtMs: 1_000,
    reportedAtMs: given.reportedAtMs,
    isTakenOver,
  });
  task.crashes = CrashHistory.restore(2, ["b"]);
  const suspicion = new crashSuspicion.CrashSuspicion();
  if (listAtMs !== undefined) {
    suspicion.recordVmList(listAtMs);
  }
  suspicion.recordCrash(worker, crashAtMs);
  expect(task.crashes?.count).toBe(isSuspect ? 3 : undefined);
});

test("progress keeps the crashes of unfinished tasks, and that of earlier versions is restored", () => {
  const worker = fixtures.openWorker("w", { vm: "a" });
  const owner = job("j");
  const run = addRun(worker, owner);
  const suspicion = new crashSuspicion.CrashSuspicion();
  suspicion.recordCrash(worker, 1_000);
  suspicion.recordVmList(2_000);
  suspicion.judge([], 2_000);
  const progress = owner.progress();
  expect(progress.steps).toMatchObject([{ crashes: [{ task: 0, count: 1, aloneOn: ["a"] }] }]);
  const restored = job("j");
  restored.restore(progress);
  expect(restored.step(0, 0)!.task(0)!.crashes).toMatchObject({ count: 1, storedCount: 1 });
  const earlier = job("j");
  earlier.restore({
    state: "active",
    steps: [{ occurrence: 0, step: 0, doneTasks: [], failedRuns: [] }],
  });
  expect(earlier.step(0, 0)!.task(0)!.crashes).toBeUndefined();
  expect(run.task.crashes).toMatchObject({ hasUnstored: true });
  owner.snapshotCrashes()();
  expect(run.task.crashes).toMatchObject({ hasUnstored: false });
});
