import { expect, test } from "vitest";
import { strengthOf, takeoverDelayMs } from "./owner_eligibility.ts";

test.each([
  {
    name: "a wide link leaves the processor to decide",
    cpuCores: 0.675,
    linkMbps: 1_000,
    is: 0.675,
  },
  { name: "a thin link binds a strong processor", cpuCores: 1.35, linkMbps: 7, is: 0.175 },
])("strength: $name", ({ cpuCores, linkMbps, is }) => {
  expect(strengthOf({ cpuCores, linkMbps })).toBeCloseTo(is);
});

test.each([
  { name: "equal nodes do not wait for each other", strength: 0.675, strongest: 0.675, delayMs: 0 },
  {
    name: "a stronger node than any before goes at once",
    strength: 1.35,
    strongest: 1,
    delayMs: 0,
  },
  { name: "a weak node waits", strength: 0.25, strongest: 1, delayMs: 375 },
  { name: "the first owner is the strongest", strength: 0.4, strongest: undefined, delayMs: 600 },
])("delay of a takeover: $name", ({ strength, strongest, delayMs }) => {
  expect(takeoverDelayMs(strength, strongest)).toBeCloseTo(delayMs);
});
