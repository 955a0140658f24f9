import { describe, expect, it } from "vitest";
import * as testing from "@jackdawlink/testing";
import * as sizing from "./sizing.ts";

const { COSTS, MEAN_VMS, simulate } = testing.sizingTrace;
const MINUTE_MS = 60_000;

describe("PoolSizing", () => {
  it.each([1, 2, 3, 4, 5])("needs less buffer than a fixed peak size, seed %i", (seed) => {
    const fixed = simulate(seed, MEAN_VMS * 5);
    const sized = simulate(seed);

    expect(sized.bufferVmMinutes).toBeLessThan(fixed.bufferVmMinutes * 0.7);
    expect(sized.secondDayShortageVmMinutes).toBe(fixed.secondDayShortageVmMinutes);
  });

  it("does not move VMs if demand fluctuates within the break-even time", () => {
    const policy = new sizing.PoolSizing({ costs: COSTS, moveMs: 0, seasonMs: MINUTE_MS * 60 });
    const moved = Array.from({ length: 30 }, (_, minute) =>
      policy.decide(
        [{ pool: "a", demandVms: minute % 2 === 0 ? 9 : 2, sizeVms: 10, minVms: 1 }],
        { sparePool: "spare", spareVms: 0, nowMs: minute * MINUTE_MS },
      )).flat();
    expect(moved).toEqual([]);
  });
});
