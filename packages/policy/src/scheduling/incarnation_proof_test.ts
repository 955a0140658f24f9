import { expect, test } from "vitest";
import { IncarnationProof } from "./incarnation_proof.ts";

const REPORT = { sentAtMs: 50_000, receivedAtMs: 50_004, workerClockMs: 40_000 };

// Guards against acknowledgements to a restarted worker, which would discard its own ends for them.
test.each<
  {
    readonly name: string;
    readonly prepare: (proof: IncarnationProof) => void;
    readonly nowMs: number;
    readonly isInDoubt: boolean;
  }
>([
  { name: "no start since", prepare: () => {}, nowMs: 60_000, isInDoubt: false },
  {
    name: "a start without an answer, long after",
    prepare: (proof) => proof.recordStartSent(59_000),
    nowMs: 60_000,
    isInDoubt: true,
  },
  {
    name: "a start right after the report",
    prepare: (proof) => proof.recordStartSent(50_050),
    nowMs: 50_100,
    isInDoubt: false,
  },
  {
    name: "a start whose answer shows the clock gone on",
    prepare: (proof) => {
      proof.recordStartSent(59_000);
      proof.recordAnswer({ sentAtMs: 59_000, receivedAtMs: 59_004, workerClockMs: 49_000 });
    },
    nowMs: 60_000,
    isInDoubt: false,
  },
  {
    name: "a start whose answer shows the clock of a younger process",
    prepare: (proof) => {
      proof.recordStartSent(59_000);
      proof.recordAnswer({ sentAtMs: 59_000, receivedAtMs: 59_004, workerClockMs: 9_800 });
    },
    nowMs: 60_000,
    isInDoubt: true,
  },
  {
    name: "a start during a report request that waited",
    prepare: (proof) => {
      proof.recordStartSent(51_000);
      proof.recordReport({ sentAtMs: 50_100, receivedAtMs: 51_600, workerClockMs: 41_580 });
    },
    nowMs: 51_700,
    isInDoubt: false,
  },
  {
    name: "a start after the worker has made its report, which arrives late",
    prepare: (proof) => {
      proof.recordStartSent(51_000);
      proof.recordReport({ sentAtMs: 50_100, receivedAtMs: 51_600, workerClockMs: 40_700 });
    },
    nowMs: 51_700,
    isInDoubt: true,
  },
])("after a report, $name", ({ prepare, nowMs, isInDoubt }) => {
  const proof = new IncarnationProof();
  proof.recordReport(REPORT);
  prepare(proof);
  expect(proof.isInDoubt(nowMs)).toBe(isInDoubt);
});
