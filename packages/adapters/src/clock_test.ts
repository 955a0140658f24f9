import { describe, expect, it } from "vitest";
import { SystemClock } from "./clock.ts";

describe("SystemClock", () => {
  it.each([
    { title: "clocks that advance equally", monotonicMs: 100, wallMs: 100, passedMs: 100 },
    {
      title: "a suspended VM, or a wall clock set forward",
      monotonicMs: 5,
      wallMs: 9_000,
      passedMs: 9_000,
    },
    { title: "a wall clock set back", monotonicMs: 70, wallMs: -5_000, passedMs: 70 },
    { title: "a stopped wall clock", monotonicMs: 70, wallMs: 0, passedMs: 70 },
  ])(
    "advances by the larger elapsed time, and the steady reading by the monotonic one, with $title",
    ({ monotonicMs, wallMs, passedMs }) => {
      const time = { monotonicMs: 1_000, wallMs: 1_700_000_000_000 };
      const clock = new SystemClock({
        sources: { monotonicMs: () => time.monotonicMs, wallMs: () => time.wallMs },
      });
      time.monotonicMs += monotonicMs;
      time.wallMs += wallMs;
      expect(clock.nowMs()).toBe(passedMs);
      expect(clock.steadyMs()).toBe(monotonicMs);
      time.monotonicMs += 10;
      time.wallMs += 10;
      expect(clock.nowMs()).toBe(passedMs + 10);
    },
  );

  it("does not run fast when a wall clock of coarser resolution is read often", () => {
    const time = { monotonicMs: 0, wallMs: 1_700_000_000_000 };
    const clock = new SystemClock({
      sources: {
        monotonicMs: () => time.monotonicMs,
        wallMs: () => Math.floor(time.wallMs),
      },
    });
    for (let reads = 0; reads < 10_000; reads++) {
      time.monotonicMs += 0.3;
      time.wallMs += 0.3;
      clock.nowMs();
    }
    expect(clock.nowMs()).toBeCloseTo(3_000, 0);
  });

  it("reports each jump of the wall clock once", () => {
    const time = { monotonicMs: 0, wallMs: 1_700_000_000_000 };
    const jumpsMs: number[] = [];
    const clock = new SystemClock({
      sources: { monotonicMs: () => time.monotonicMs, wallMs: () => time.wallMs },
      onWallClockJump: (jumpMs) => jumpsMs.push(jumpMs),
    });
    for (const jumpMs of [0, 6_000, 0, -6_000, 20]) {
      time.monotonicMs += 100;
      time.wallMs += 100 + jumpMs;
      clock.nowMs();
      clock.nowMs();
    }
    expect(jumpsMs).toEqual([6_000, -6_000]);
  });
});
