import { expect, test } from "vitest";
import { EndProgress } from "./end_progress.ts";

const CASES: readonly {
  readonly name: string;
  readonly listed: readonly (readonly [endNumber: number, atMs: number])[];
  readonly acknowledged: number;
  readonly waitsMs: readonly number[];
  readonly oldestWaitMs: number;
}[] = [
  { name: "no ends are listed", listed: [], acknowledged: 0, waitsMs: [], oldestWaitMs: 0 },
  {
    name: "all reports are acknowledged",
    listed: [[2, 100], [5, 300]],
    acknowledged: 5,
    waitsMs: [900, 700],
    oldestWaitMs: 0,
  },
  {
    name: "a partly acknowledged report still waits",
    listed: [[2, 100], [5, 300]],
    acknowledged: 4,
    waitsMs: [900],
    oldestWaitMs: 700,
  },
  {
    name: "ends listed again keep their first listing time",
    listed: [[2, 100], [2, 600], [3, 800]],
    acknowledged: 0,
    waitsMs: [],
    oldestWaitMs: 900,
  },
];

test.each(CASES)(
  "waits for acknowledgement: $name",
  ({ listed, acknowledged, waitsMs, oldestWaitMs }) => {
    const ends = new EndProgress();
    listed.forEach(([endNumber, atMs]) => ends.recordListed(endNumber, atMs));
    expect(ends.recordAcknowledged(acknowledged, 1_000)).toEqual(waitsMs);
    expect(ends.oldestWaitMs(1_000)).toBe(oldestWaitMs);
  },
);
