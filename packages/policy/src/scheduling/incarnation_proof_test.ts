import { expect, test } from "vitest";
import { IncarnationProof } from "./incarnation_proof.ts";

const REPORT = { sentAtMs: 50_000, receivedAtMs: 50_004, workerClockMs: 40_000 };

// Guards against acknowledgements to a restarted worker, which would discard its own ends for them.
test.each<
  {
    readonly name: string;
    readonly prepare: (proof: IncarnationProof) => void;
    readonly isInDoubt: boolean;
  }
>([
  { name: "no answer since", prepare: () => {}, isInDoubt: false },
  {
    name: "a start without an answer",
    prepare: (proof) => proof.recordUnanswered(59_400),
    isInDoubt: true,
  },
  {
    name: "a start without an answer, and a report that was made before it was given up",
    prepare: (proof) => {
      proof.recordUnanswered(51_400);
      proof.recordReport({ sentAtMs: 50_100, receivedAtMs: 51_600, workerClockMs: 41_300 });
    },
    isInDoubt: true,
  },
  {
    name: "a start without an answer, and a report that was made after it was given up",
    prepare: (proof) => {
      proof.recordUnanswered(51_400);
      proof.recordReport({ sentAtMs: 50_100, receivedAtMs: 51_600, workerClockMs: 41_580 });
    },
    isInDoubt: false,
  },
  {
    name: "a start whose answer shows the clock gone on",
    prepare: (proof) =>
      proof.recordAnswer({ sentAtMs: 59_000, receivedAtMs: 59_004, workerClockMs: 49_000 }),
    isInDoubt: false,
  },
  {
    name: "a start whose answer shows the clock of a younger process",
    prepare: (proof) =>
      proof.recordAnswer({ sentAtMs: 59_000, receivedAtMs: 59_004, workerClockMs: 9_800 }),
    isInDoubt: true,
  },
])("after a report, $name", ({ prepare, isInDoubt }) => {
  const proof = new IncarnationProof();
  proof.recordReport(REPORT);
  prepare(proof);
  expect(proof.isInDoubt).toBe(isInDoubt);
});
