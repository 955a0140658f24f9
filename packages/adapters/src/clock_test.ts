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

  it.each([
    { title: "no jump", jumpMs: 0, passedMs: 1_100, reportedMs: [] },
    { title: "a jump forward", jumpMs: 6_000, passedMs: 7_100, reportedMs: [6_000] },
    { title: "a jump back", jumpMs: -6_000, passedMs: 1_100, reportedMs: [-6_000] },
  ])(
    "does not run ahead when the process is preempted between the reads, with $title",
    ({ jumpMs, passedMs, reportedMs }) => {
      const time = { monotonicMs: 0, wallMs: 1_700_000_000_000 };
      let preemptedMs = 0;
      const jumpsMs: number[] = [];
      const clock = new SystemClock({
        sources: {
          monotonicMs: () => time.monotonicMs,
          wallMs: () => {
            time.monotonicMs += preemptedMs;
            time.wallMs += preemptedMs;
            preemptedMs = 0;
            return time.wallMs;
          },
        },
        onWallClockJump: (jump) => jumpsMs.push(jump),
      });
      time.monotonicMs += 1_000;
      time.wallMs += 1_000 + jumpMs;
      preemptedMs = 100;
      expect(clock.nowMs()).toBe(passedMs);
      expect(clock.nowMs()).toBe(passedMs);
      expect(jumpsMs).toEqual(reportedMs);
    },
  );

  it("reads each source once while the wall clock does not jump", () => {
    const reads = { monotonic: 0, wall: 0 };
    const clock = new SystemClock({
      sources: {
        monotonicMs: () => 10 * reads.monotonic++,
        wallMs: () => 10 * reads.wall++,
      },
    });
    clock.nowMs();
    expect(reads).toEqual({ monotonic: 2, wall: 2 });
  });
});
