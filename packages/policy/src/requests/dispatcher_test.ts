import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as dispatchers from "./dispatcher.ts";
import * as requestQueue from "./request_queue.ts";

const URGENCIES = ["urgent", "normal", "background"] as const;

function request(overrides: Partial<requestQueue.WaitingRequest>): requestQueue.WaitingRequest {
  return {
    requestId: "r",
    team: "billing",
    service: "renewals",
    urgency: "normal",
    enqueuedAtMs: 0,
    expiresAtMs: 1_000_000,
    ...overrides,
  };
}

interface Start {
  readonly request: requestQueue.WaitingRequest;
  readonly atMs: number;
}

/** Starts one request, as a service runner does when one permit is free. */
function startOne(
  dispatcher: dispatchers.Dispatcher,
  { nowMs, statusOf }: {
    nowMs: number;
    statusOf: (team: string) => dispatchers.TeamStatus;
  },
): Start | null {
  const next = dispatcher.candidates(nowMs, statusOf).next();
  if (next.done) return null;
  dispatcher.recordStart(next.value.requestId, {
    nowMs,
    weight: statusOf(next.value.team).weight,
  });
  return { request: next.value, atMs: nowMs };
}

const DEFAULT_STATUS: dispatchers.TeamStatus = { running: 0, target: null, weight: 1 };

describe("dispatch order", () => {
  it.each([
    {
      name: "urgent requests of a team before normal and background ones",
      requests: [
        { requestId: "b", urgency: "background" as const },
        { requestId: "n" },
        { requestId: "u", urgency: "urgent" as const },
      ],
      statuses: {},
      order: ["u", "n", "b"],
    },
    {
      name: "a background request before a normal one that came 3.5 s later",
      requests: [
        { requestId: "b", urgency: "background" as const },
        { requestId: "n", enqueuedAtMs: 3_500 },
      ],
      statuses: {},
      order: ["b", "n"],
    },
    {
      name: "the team furthest below its target first",
      requests: [{ requestId: "x", team: "a" }, { requestId: "y", team: "b" }],
      statuses: {
        a: { running: 3, target: 4, weight: 1 },
        b: { running: 1, target: 4, weight: 1 },
      },
      order: ["y", "x"],
    },
    {
      name: "a team with a target of zero last",
      requests: [{ requestId: "x", team: "a" }, { requestId: "y", team: "b" }],
      statuses: {
        a: { running: 0, target: 0, weight: 1 },
        b: { running: 9, target: 4, weight: 1 },
      },
      order: ["y", "x"],
    },
  ])("starts $name", ({ requests, statuses, order }) => {
    const dispatcher = new dispatchers.Dispatcher();
    for (const overrides of requests) dispatcher.add(request(overrides));
    const table = new Map<string, dispatchers.TeamStatus>(Object.entries(statuses));
    const started = order.map(() =>
      startOne(dispatcher, { nowMs: 100, statusOf: (team) => table.get(team) ?? DEFAULT_STATUS })
    );
    expect(started.map((start) => start?.request.requestId)).toEqual(order);
  });

  it("serves teams in proportion to their weights while no targets are known", () => {
    const dispatcher = new dispatchers.Dispatcher();
    const weights: Record<string, number> = { a: 1, b: 2, c: 5 };
    for (let index = 0; index < 300; index++) {
      for (const team of Object.keys(weights)) {
        dispatcher.add(request({ requestId: `${team}${index}`, team }));
      }
    }
    const starts: Record<string, number> = { a: 0, b: 0, c: 0 };
    const statusOf = (team: string) => ({ ...DEFAULT_STATUS, weight: weights[team]! });
    for (let count = 0; count < 160; count++) {
      starts[startOne(dispatcher, { nowMs: 10, statusOf })!.request.team]! += 1;
    }
    expect(starts).toEqual({ a: 20, b: 40, c: 100 });
  });

  it("removes expired requests and returns them", () => {
    const dispatcher = new dispatchers.Dispatcher();
    dispatcher.add(request({ requestId: "early", expiresAtMs: 10 }));
    dispatcher.add(request({ requestId: "late", expiresAtMs: 20 }));
    expect(dispatcher.expire(10).map(({ requestId }) => requestId)).toEqual(["early"]);
    expect(dispatcher.all().map(({ requestId }) => requestId)).toEqual(["late"]);
    expect(dispatcher.remove("early")).toBe(false);
  });
});

/** A request arrival with its team and urgency. */
const arrivalArbitrary = fc.record({
  atMs: fc.integer({ min: 0, max: 10_000 }),
  team: fc.constantFrom("a", "b", "c", "d"),
  urgency: fc.constantFrom(...URGENCIES),
});

/** Simulates a service in which one permit becomes free each interval. */
function simulate(
  arrivals: readonly {
    atMs: number;
    team: string;
    urgency: requestQueue.WaitingRequest["urgency"];
  }[],
  { intervalMs, statusOf }: {
    intervalMs: number;
    statusOf: (team: string) => dispatchers.TeamStatus;
  },
): readonly Start[] {
  const dispatcher = new dispatchers.Dispatcher();
  const pending = [...arrivals].sort((a, b) => a.atMs - b.atMs);
  const starts: Start[] = [];
  let index = 0;
  for (let nowMs = 0; index < pending.length || dispatcher.waiting > 0; nowMs += intervalMs) {
    while (index < pending.length && pending[index]!.atMs <= nowMs) {
      const { atMs, team, urgency } = pending[index]!;
      dispatcher.add(request({ requestId: `r${index}`, team, urgency, enqueuedAtMs: atMs }));
      index += 1;
    }
    const start = startOne(dispatcher, { nowMs, statusOf });
    if (start !== null) starts.push(start);
  }
  return starts;
}

describe("dispatch guarantees", () => {
  it("starts each request once; only urgent requests overtake beyond the urgency offsets", () => {
    fc.assert(
      fc.property(fc.array(arrivalArbitrary, { maxLength: 120 }), (arrivals) => {
        const starts = simulate(arrivals, { intervalMs: 50, statusOf: () => DEFAULT_STATUS });
        expect(new Set(starts.map((start) => start.request.requestId)).size).toBe(arrivals.length);
        for (const [position, { request: early }] of starts.entries()) {
          for (const { request: later } of starts.slice(position + 1)) {
            if (later.team !== early.team || early.urgency === "urgent") continue;
            expect(early.enqueuedAtMs - later.enqueuedAtMs).toBeLessThanOrEqual(3_000);
          }
        }
      }),
      { seed: 1, numRuns: 100 },
    );
  });

  it("starts background work of a team with a target of zero despite a flood of other work", () => {
    const flood = Array.from({ length: 2_000 }, (_, index) => ({
      atMs: index * 5,
      team: "a",
      urgency: "urgent" as const,
    }));
    const background = { atMs: 10, team: "b", urgency: "background" as const };
    const starts = simulate([...flood, background], {
      intervalMs: 10,
      statusOf: (team) => ({ running: 0, target: team === "a" ? 8 : 0, weight: 1 }),
    });
    const start = starts.find(({ request: { team } }) => team === "b")!;
    expect(start.atMs - start.request.enqueuedAtMs).toBeLessThanOrEqual(
      dispatchers.TEAM_STARVATION_MS + 10,
    );
  });

  it("starts urgent work of a team above its target within 4.3 s", () => {
    const flood = Array.from({ length: 3_000 }, (_, index) => ({
      atMs: index * 4,
      team: ["a", "c", "d"][index % 3]!,
      urgency: "normal" as const,
    }));
    const urgent = Array.from({ length: 60 }, (_, index) => ({
      atMs: index * 200,
      team: "b",
      urgency: "urgent" as const,
    }));
    const starts = simulate([...flood, ...urgent], {
      intervalMs: 20,
      statusOf: (team) => ({ running: team === "b" ? 9 : 0, target: 8, weight: 1 }),
    });
    const waits = starts.filter(({ request: { team } }) => team === "b")
      .map(({ atMs, request: { enqueuedAtMs } }) => atMs - enqueuedAtMs);
    expect(waits).toHaveLength(60);
    expect(Math.max(...waits)).toBeLessThanOrEqual(4_300);
  });

  it("starts urgent work ahead of an older backlog of the same team", () => {
    const backlog = Array.from({ length: 600 }, () => ({
      atMs: 0,
      team: "a",
      urgency: "normal" as const,
    }));
    const urgent = Array.from({ length: 300 }, (_, index) => ({
      atMs: index * 33,
      team: "a",
      urgency: "urgent" as const,
    }));
    const starts = simulate([...backlog, ...urgent], {
      intervalMs: 20,
      statusOf: () => DEFAULT_STATUS,
    });
    const waits = starts.filter(({ request: { urgency } }) => urgency === "urgent")
      .map(({ atMs, request: { enqueuedAtMs } }) => atMs - enqueuedAtMs);
    expect(waits).toHaveLength(300);
    expect(Math.max(...waits)).toBeLessThanOrEqual(4_300);
  });

  it.each(["normal", "background"] as const)(
    "reserves one start in four for older %s work of a team despite a flood of urgent work",
    (urgency) => {
      const flood = Array.from({ length: 3_000 }, (_, index) => ({
        atMs: index * 5,
        team: "a",
        urgency: "urgent" as const,
      }));
      const older = Array.from({ length: 100 }, () => ({ atMs: 0, team: "a", urgency }));
      const starts = simulate([...flood, ...older], {
        intervalMs: 20,
        statusOf: () => DEFAULT_STATUS,
      });
      const positions = starts.flatMap(({ request }, index) =>
        request.urgency === urgency ? [index] : []
      );
      const arrivalLeadMs = requestQueue.URGENCY_OFFSETS_MS[urgency] -
        requestQueue.URGENCY_OFFSETS_MS.urgent;
      expect(positions[0]).toBeLessThanOrEqual(
        arrivalLeadMs / 5 + requestQueue.ARRIVAL_ORDER_START_INTERVAL,
      );
      const gaps = positions.slice(1).map((position, index) => position - positions[index]!);
      expect(gaps).toHaveLength(99);
      expect(Math.max(...gaps)).toBeLessThanOrEqual(requestQueue.ARRIVAL_ORDER_START_INTERVAL);
    },
  );
});
