import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { err, ok } from "neverthrow";
import { expect, test, vi } from "vitest";
import { useSimulatedTime } from "./test/model_world.ts";
import { termFixture } from "./test/term_fixture.ts";
import type { WorkerSession } from "./worker_session.ts";
import { type WorkerEntry, WorkerSessions } from "./worker_sessions.ts";

const TOTAL = { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 };

/** Sessions that make no calls; an entry names a worker if its value begins with `sound`. */
function sessionsFixture() {
  const parts = termFixture();
  const refused: string[] = [];
  const opened: string[] = [];
  let decodeCount = 0;
  const log: ports.log.Log = {
    ...parts.log,
    info: (message, fields) => {
      if (message === "Could not decode a worker entry") {
        refused.push(`${fields?.["worker"]}: ${fields?.["reason"]}`);
      }
    },
  };
  const sessions = new WorkerSessions({
    ...parts,
    log,
    documents: testing.schedulingFixtures.documents({
      decodeWorker: (key, text) => {
        decodeCount++;
        const workerId = key.slice("workers/".length);
        if (text === "throws") {
          throw new RangeError("Maximum call stack size exceeded");
        }
        return text.startsWith("sound")
          ? ok({
            workerId,
            vm: workerId,
            pool: "pool",
            address: workerId,
            isDraining: false,
            total: TOTAL,
            labels: [],
            startedUnixMs: 1,
          })
          : err(new schema.errors.InvalidInputError(text));
      },
    }),
    createSession: (worker) => {
      opened.push(worker.info.workerId);
      return {
        worker,
        run: () => Promise.resolve(),
        stop: () => {},
        retryNow: () => {},
      } as Partial<
        WorkerSession
      > as WorkerSession;
    },
    onChange: () => {},
  });
  return { ...parts, sessions, refused, opened, decodeCount: () => decodeCount };
}

function entry(id: string, value: string | undefined, revision: number): WorkerEntry {
  return { key: `workers/${id}`, value, revision };
}

useSimulatedTime();

test("logs an odd entry once for each fault, not at each read or heartbeat", () => {
  const { sessions, refused, decodeCount } = sessionsFixture();
  for (let read = 0; read < 20; read++) {
    sessions.applyList([entry("odd", "nested", 7), entry("a", "sound", 3)], Date.now());
  }
  expect(refused).toEqual(["odd: nested"]);
  expect(decodeCount()).toBe(2);
  for (let revision = 8; revision < 20; revision++) {
    sessions.applyEntry(entry("odd", "nested", revision), Date.now());
  }
  expect(refused).toEqual(["odd: nested"]);
  sessions.applyEntry(entry("odd", "no address", 20), Date.now());
  expect(refused).toEqual(["odd: nested", "odd: no address"]);
});

test.each([
  {
    name: "a watch",
    remove: (sessions: WorkerSessions) =>
      sessions.applyEntry(entry("odd", undefined, 8), Date.now()),
  },
  { name: "a list", remove: (sessions: WorkerSessions) => sessions.applyList([], Date.now()) },
])("logs an odd entry again after $name has shown its removal", ({ remove }) => {
  const { sessions, refused } = sessionsFixture();
  sessions.applyEntry(entry("odd", "nested", 7), Date.now());
  remove(sessions);
  sessions.applyEntry(entry("odd", "nested", 9), Date.now());
  expect(refused).toHaveLength(2);
});

test("opens the sessions of the sound workers around an odd entry", () => {
  const { sessions, opened } = sessionsFixture();
  sessions.applyList(
    [entry("a", "sound", 1), entry("odd", "nested", 2), entry("z", "sound", 3)],
    Date.now(),
  );
  expect(opened).toEqual(["a", "z"]);
});

test("keeps the worker whose entry another writer has made odd, until it writes again", () => {
  const { sessions, scheduler, opened } = sessionsFixture();
  sessions.applyEntry(entry("a", "sound", 1), Date.now());
  const worker = scheduler.workers.get("a");
  sessions.applyEntry(entry("a", "nested", 2), Date.now());
  expect(scheduler.workers.get("a")).toBe(worker);
  expect(worker?.isListed).toBe(true);
  sessions.applyEntry(entry("a", "sound again", 3), Date.now());
  expect(scheduler.workers.get("a")).toBe(worker);
  expect(opened).toEqual(["a"]);
});

test("opens a session once an odd entry has become sound", () => {
  const { sessions, opened } = sessionsFixture();
  sessions.applyEntry(entry("a", "nested", 1), Date.now());
  sessions.applyEntry(entry("a", "sound", 2), Date.now());
  expect(opened).toEqual(["a"]);
});

test("opens the sessions of the sound workers when an entry makes the decoder throw", () => {
  const { sessions, opened } = sessionsFixture();
  sessions.applyList(
    [entry("a", "sound", 1), entry("odd", "throws", 2), entry("z", "sound", 3)],
    Date.now(),
  );
  expect(opened).toEqual(["a", "z"]);
});

const CONFIRMATIONS: readonly {
  readonly name: string;
  readonly apply: (sessions: WorkerSessions, startMs: number) => void;
  /** How long after the start the capacity is relied on; undefined if it is not at all. */
  readonly expectedMs: number | undefined;
}[] = [
  {
    name: "an entry that a watch has delivered",
    apply: (sessions, startMs) => sessions.applyEntry(entry("w", "sound", 1), startMs),
    expectedMs: 4_000,
  },
  {
    name: "an entry of a list, which may be a heartbeat old",
    apply: (sessions, startMs) => sessions.applyListed([entry("w", "sound", 1)], startMs),
    expectedMs: 2_500,
  },
  {
    name: "an entry of a list after an outage of the store",
    apply: (sessions) => sessions.applyListed([entry("w", "sound", 1)], Number.NEGATIVE_INFINITY),
    expectedMs: undefined,
  },
  {
    name: "a heartbeat after such a list",
    apply: (sessions, startMs) => {
      sessions.applyListed([entry("w", "sound", 1)], Number.NEGATIVE_INFINITY);
      sessions.applyEntry(entry("w", "sound", 2), startMs);
    },
    expectedMs: 4_000,
  },
  {
    name: "an entry that a later list repeats",
    apply: (sessions, startMs) => {
      sessions.applyEntry(entry("w", "sound", 1), startMs);
      sessions.applyList([entry("w", "sound", 1)], startMs + 4_000);
    },
    expectedMs: 4_000,
  },
];

test.each(CONFIRMATIONS)(
  "relies on the capacity in $name for $expectedMs ms",
  ({ apply, expectedMs }) => {
    const startMs = Date.now();
    const { sessions } = sessionsFixture();
    apply(sessions, startMs);
    const isConfirmedAt = (afterMs: number) => {
      vi.setSystemTime(startMs + afterMs);
      return sessions.isCapacityConfirmed("w");
    };
    expect([isConfirmedAt(expectedMs ?? 0), isConfirmedAt((expectedMs ?? 0) + 1)])
      .toEqual([expectedMs !== undefined, false]);
  },
);
