import { expect, test } from "vitest";
import { strengthOf, takeoverDelayMs } from "./owner_eligibility.ts";

test.each([
  {
    name: "the processor limits a node with a fast link",
    cpuCores: 0.675,
    linkMbps: 1_000,
    is: 0.675,
  },
  {
    name: "a slow link limits a node with a strong processor",
    cpuCores: 1.35,
    linkMbps: 7,
    is: 0.175,
  },
])("strength of a node: $name", ({ cpuCores, linkMbps, is }) => {
  expect(strengthOf({ cpuCores, linkMbps })).toBeCloseTo(is);
});

test.each([
  {
    name: "a node as strong as the strongest does not wait",
    strength: 0.675,
    strongest: 0.675,
    delayMs: 0,
  },
  {
    name: "a node stronger than any previous owner does not wait",
    strength: 1.35,
    strongest: 1,
    delayMs: 0,
  },
  { name: "a weak node waits for stronger ones", strength: 0.25, strongest: 1, delayMs: 375 },
  {
    name: "before the first owner, a weak node waits longer",
    strength: 0.4,
    strongest: undefined,
    delayMs: 600,
  },
])("takeover delay: $name", ({ strength, strongest, delayMs }) => {
  expect(takeoverDelayMs(strength, strongest)).toBeCloseTo(delayMs);
});
