import { describe, expect, it } from "vitest";
import * as shareWindows from "../share_windows.ts";
import * as fixedSplit from "./fixed_split.ts";

const WEIGHTS: Record<string, number> = { light: 1, heavy: 3 };
const OPTIONS = { entryCount: 2, slots: 3, maxWaitMs: 1_000, weightOf: (t: string) => WEIGHTS[t]! };

/** One request of 10 ms per team and millisecond. */
function requestsOf(teams: readonly { team: string; entry: number }[]) {
  return Array.from({ length: 2_000 }, (_, atMs) => atMs).flatMap((atMs) =>
    teams.map(({ team, entry }) => ({ team, entry, atMs, runMs: 10 }))
  );
}

describe("an even fixed split", () => {
  it.each([
    { slots: 16, entryCount: 9, expected: [2, 2, 2, 2, 2, 2, 2, 1, 1] },
    { slots: 2, entryCount: 3, expected: [1, 1, 0] },
  ])("divides $slots slots over $entryCount entries", ({ slots, entryCount, expected }) => {
    expect(fixedSplit.evenSplit(slots, entryCount)).toEqual(expected);
  });

  it.each([
    { name: "at one entry by their weights", heavyEntry: 0, light: 1, heavy: 1 },
    {
      name: "at different entries by the slots of each entry",
      heavyEntry: 1,
      light: 8 / 3,
      heavy: 4 / 9,
    },
  ])("serves teams $name", ({ heavyEntry, light, heavy }) => {
    const requests = requestsOf([
      { team: "light", entry: 0 },
      { team: "heavy", entry: heavyEntry },
    ]);
    const usage = shareWindows.windowUsage(fixedSplit.simulateFixedSplit(requests, OPTIONS), {
      window: { startMs: 500, endMs: 1_500, backloggedTeams: ["light", "heavy"] },
      slots: OPTIONS.slots,
      weightOf: OPTIONS.weightOf,
    });
    expect(usage.usageToShareByTeam.get("light")).toBeCloseTo(light, 1);
    expect(usage.usageToShareByTeam.get("heavy")).toBeCloseTo(heavy, 1);
  });
});
