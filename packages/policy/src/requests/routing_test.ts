import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as serverCooldowns from "./server_cooldowns.ts";
import * as outlierDetector from "./outlier_detector.ts";
import * as routing from "./routing.ts";

function candidate(
  backendServer: string,
  change: Partial<routing.Candidate> = {},
): routing.Candidate {
  return {
    backendServer,
    availabilityZone: "zone-a",
    slots: 8,
    running: 0,
    draining: false,
    isCoolingDown: false,
    health: "healthy",
    weight: 1,
    ...change,
  };
}

const CONTEXT: routing.RoutingContext = {
  availabilityZone: "zone-a",
  repeatable: true,
  tried: new Set(),
  tieBreak: (name) => name.charCodeAt(0) / 256,
};

describe("orderBackendServers", () => {
  it.each<{
    name: string;
    candidates: routing.Candidate[];
    change?: Partial<routing.RoutingContext>;
    order: string[];
  }>([
    {
      name: "the least loaded backend server",
      candidates: [candidate("a", { running: 2 }), candidate("b", { running: 1 })],
      order: ["b", "a"],
    },
    {
      name: "the lowest load relative to slots",
      candidates: [candidate("a", { running: 2, slots: 16 }), candidate("b", { running: 2 })],
      order: ["a", "b"],
    },
    {
      name: "the same availability zone",
      candidates: [candidate("a", { availabilityZone: "zone-b" }), candidate("b", { running: 7 })],
      order: ["b", "a"],
    },
    {
      name: "no backend server that is draining, cooling down, ejected or already tried",
      candidates: [
        candidate("a", { draining: true }),
        candidate("b", { isCoolingDown: true }),
        candidate("c", { health: "ejected" }),
        candidate("d"),
        candidate("e"),
      ],
      change: { tried: new Set(["d"]) },
      order: ["e"],
    },
    {
      name: "a probe first for a repeatable request, one probe at a time",
      candidates: [
        candidate("a"),
        candidate("b", { health: "probing" }),
        candidate("c", { health: "probing", running: 1 }),
      ],
      order: ["b", "a"],
    },
    {
      name: "a probe last for a request that is not repeatable",
      candidates: [
        candidate("a", { availabilityZone: "zone-b" }),
        candidate("b", { health: "probing" }),
      ],
      change: { repeatable: false },
      order: ["a", "b"],
    },
    {
      name: "a backend server in slow start only up to its weight",
      candidates: [candidate("a", { weight: 0.25, running: 2 }), candidate("b", { running: 7 })],
      order: ["b"],
    },
  ])("chooses $name", ({ candidates, change, order }) => {
    expect(routing.orderBackendServers(candidates, { ...CONTEXT, ...change })).toEqual(order);
  });
});

describe("OutlierDetector", () => {
  const failure = { nowMs: 0, serviceSize: 4 };

  it("ejects after consecutive failures, probes, and returns with a slow start", () => {
    const state = new outlierDetector.OutlierDetector();
    const ejected = [1, 2, 3].map(() => state.recordFailure("a", failure));
    expect(ejected).toEqual([false, false, true]);
    expect(state.health("a", outlierDetector.BASE_EJECTION_MS - 1)).toBe("ejected");
    expect(state.health("a", outlierDetector.BASE_EJECTION_MS)).toBe("probing");
    state.recordFailure("a", { ...failure, nowMs: outlierDetector.BASE_EJECTION_MS });
    expect(state.health("a", 3 * outlierDetector.BASE_EJECTION_MS - 1)).toBe("ejected");
    state.recordSuccess("a", 3 * outlierDetector.BASE_EJECTION_MS);
    expect(state.health("a", 3 * outlierDetector.BASE_EJECTION_MS)).toBe("healthy");
    expect(state.weight("a", 3 * outlierDetector.BASE_EJECTION_MS)).toBe(
      outlierDetector.SLOW_START_MIN_WEIGHT,
    );
    const returnedMs = 3 * outlierDetector.BASE_EJECTION_MS + outlierDetector.SLOW_START_MS;
    expect(state.weight("a", returnedMs)).toBe(1);
  });

  it("ejects a backend server that fails half of its requests", () => {
    const state = new outlierDetector.OutlierDetector();
    let ejected = false;
    for (let index = 0; index < outlierDetector.FAILURE_WINDOW_REQUESTS; index++) {
      if (index % 2 === 0) state.recordSuccess("a", index);
      else ejected = state.recordFailure("a", failure) || ejected;
    }
    expect(ejected).toBe(true);
  });

  it("never ejects more than the maximum fraction of a service", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 9 }),
        fc.array(fc.tuple(fc.nat(8), fc.boolean(), fc.nat(500)), { maxLength: 300 }),
        (serviceSize, events) => {
          const state = new outlierDetector.OutlierDetector();
          const names = Array.from({ length: serviceSize }, (_, index) => `server-${index}`);
          let nowMs = 0;
          for (const [index, isFailure, stepMs] of events) {
            nowMs += stepMs;
            const name = names[index % serviceSize]!;
            if (isFailure) state.recordFailure(name, { nowMs, serviceSize });
            else state.recordSuccess(name, nowMs);
            const out = names.filter((other) => state.health(other, nowMs) !== "healthy").length;
            expect(out).toBeLessThanOrEqual(serviceSize * outlierDetector.MAX_EJECTED_RATIO);
          }
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });
});

describe("ServerCooldowns", () => {
  it("keeps the longest cooldown, and removes backend servers that are not retained", () => {
    const state = new serverCooldowns.ServerCooldowns();
    state.start("a", { nowMs: 0, durationMs: 100 });
    state.start("a", { nowMs: 0, durationMs: 50 });
    expect([99, 100].map((nowMs) => state.isCoolingDown("a", nowMs))).toEqual([true, false]);
    state.retain(new Set());
    expect(state.isCoolingDown("a", 0)).toBe(false);
  });

  it("doubles a repeated cooldown until the backend server answers normally", () => {
    const state = new serverCooldowns.ServerCooldowns();
    state.start("a", { nowMs: 0, durationMs: 100 });
    state.start("a", { nowMs: 100, durationMs: 100 });
    expect([299, 300].map((nowMs) => state.isCoolingDown("a", nowMs))).toEqual([true, false]);
    state.recordAnswer("a", 300);
    state.start("a", { nowMs: 300, durationMs: 100 });
    expect([399, 400].map((nowMs) => state.isCoolingDown("a", nowMs))).toEqual([true, false]);
  });
});
