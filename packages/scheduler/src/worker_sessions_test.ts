import * as testing from "@jackdawlink/testing";
import { ok } from "neverthrow";
import { expect, test, vi } from "vitest";
import { useSimulatedTime } from "./test/model_world.ts";
import { termFixture } from "./test/term_fixture.ts";
import type { WorkerSession } from "./worker_session.ts";
import { WorkerSessions } from "./worker_sessions.ts";

const INFO = {
  workerId: "w",
  vm: "vm",
  pool: "pool",
  address: "w",
  isDraining: false,
  total: { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 },
  labels: [],
  startedUnixMs: 1,
};

function openSessions(): WorkerSessions {
  return new WorkerSessions({
    ...termFixture(),
    documents: testing.schedulingFixtures.documents({ decodeWorker: () => ok(INFO) }),
    createSession: (worker) =>
      ({ worker, run: () => Promise.resolve(), retryNow: () => {} }) as Partial<
        WorkerSession
      > as WorkerSession,
    onChange: () => {},
  });
}

function entry(revision: number) {
  return { key: "workers/w", value: "", revision };
}

const CONFIRMATIONS: readonly {
  readonly name: string;
  readonly apply: (sessions: WorkerSessions, startMs: number) => void;
  /** How long after the start the capacity is relied on; undefined if it is not at all. */
  readonly expectedMs: number | undefined;
}[] = [
  {
    name: "an entry that a watch has delivered",
    apply: (sessions, startMs) => sessions.applyEntry(entry(1), startMs),
    expectedMs: 4_000,
  },
  {
    name: "an entry of a list, which may be a heartbeat old",
    apply: (sessions, startMs) => sessions.applyListed([entry(1)], startMs),
    expectedMs: 2_500,
  },
  {
    name: "an entry of a list after an outage of the store",
    apply: (sessions) => sessions.applyListed([entry(1)], Number.NEGATIVE_INFINITY),
    expectedMs: undefined,
  },
  {
    name: "a heartbeat after such a list",
    apply: (sessions, startMs) => {
      sessions.applyListed([entry(1)], Number.NEGATIVE_INFINITY);
      sessions.applyEntry(entry(2), startMs);
    },
    expectedMs: 4_000,
  },
  {
    name: "an entry that a later list repeats",
    apply: (sessions, startMs) => {
      sessions.applyEntry(entry(1), startMs);
      sessions.applyList([entry(1)], startMs + 4_000);
    },
    expectedMs: 4_000,
  },
];

useSimulatedTime();

test.each(CONFIRMATIONS)(
  "relies on the capacity in $name for $expectedMs ms",
  ({ apply, expectedMs }) => {
    const startMs = Date.now();
    const sessions = openSessions();
    apply(sessions, startMs);
    const isConfirmedAt = (afterMs: number) => {
      vi.setSystemTime(startMs + afterMs);
      return sessions.isCapacityConfirmed("w");
    };
    expect([isConfirmedAt(expectedMs ?? 0), isConfirmedAt((expectedMs ?? 0) + 1)])
      .toEqual([expectedMs !== undefined, false]);
  },
);
