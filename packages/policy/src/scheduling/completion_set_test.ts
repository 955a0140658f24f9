import { expect, test } from "vitest";
import { CompletionSet } from "./completion_set.ts";

test.each<{
  readonly name: string;
  readonly added: readonly number[];
  readonly ranges: readonly (readonly number[])[];
  readonly firstOpen: number;
}>([
  { name: "nothing", added: [], ranges: [], firstOpen: 0 },
  { name: "items in order", added: [0, 1], ranges: [[0, 1]], firstOpen: 2 },
  { name: "items out of order", added: [3, 0, 2], ranges: [[0, 0], [2, 3]], firstOpen: 1 },
  { name: "an item that closes a gap", added: [2, 1, 0], ranges: [[0, 2]], firstOpen: 3 },
  { name: "an item twice", added: [1, 1, 0, 0], ranges: [[0, 1]], firstOpen: 2 },
  { name: "all items", added: [4, 3, 2, 1, 0], ranges: [[0, 4]], firstOpen: 5 },
  { name: "items that do not exist", added: [-1, 5], ranges: [], firstOpen: 0 },
])("holds $name", ({ added, ranges, firstOpen }) => {
  const set = new CompletionSet(5);
  added.forEach((number) => set.add(number));
  const held = [0, 1, 2, 3, 4].filter((number) => set.has(number));
  expect(set.ranges()).toEqual(ranges);
  expect([...set]).toEqual(held);
  expect([set.firstOpen, set.size, set.isComplete]).toEqual([
    firstOpen,
    held.length,
    held.length === 5,
  ]);
  const copy = new CompletionSet(5);
  set.ranges().forEach((range) => copy.addRange(range));
  expect([...copy]).toEqual(held);
});

test("ignores the part of a range beyond its items", () => {
  const set = new CompletionSet(3);
  set.addRange([1, 1e9]);
  expect(set.ranges()).toEqual([[1, 2]]);
});
