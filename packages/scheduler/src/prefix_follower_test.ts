import type * as ports from "@jackdawlink/ports";
import * as testing from "@jackdawlink/testing";
import { ok } from "neverthrow";
import { expect, test, vi } from "vitest";
import { PrefixFollower } from "./prefix_follower.ts";
import { useSimulatedTime } from "./test/model_world.ts";
import { termFixture } from "./test/term_fixture.ts";

const KEYS = ["workers/a", "workers/odd", "workers/z"];

/** A store that changes the same three items with each watch. */
function changingStore(): ports.scheduling.SchedulingStore {
  let revision = 1;
  const store: Partial<ports.scheduling.SchedulingStore> = {
    watch: async () => {
      await testing.waitFor.pause(100);
      revision++;
      const changes = KEYS.map((key) => ({ key, value: "x", revision }));
      return ok({ kind: "changes", changes, asOfRevision: revision });
    },
    list: async () => {
      await testing.waitFor.pause(2);
      const items = KEYS.map((key) => ({ key, value: "x", revision, createdRevision: 1 }));
      return ok({ items, asOfRevision: revision });
    },
  };
  return store as ports.scheduling.SchedulingStore;
}

useSimulatedTime();

test("goes on following, and hands on the other items, when the handling of one throws", async () => {
  const handled: string[] = [];
  const errors: unknown[] = [];
  let listCount = 0;
  const { clock, log } = termFixture();
  const follower = new PrefixFollower({
    store: changingStore(),
    clock,
    log: { ...log, error: (_message, fields) => errors.push(fields?.["key"]) },
    prefix: "workers/",
    handlers: {
      onList: () => {
        listCount++;
        throw new Error("list");
      },
      onChange: ({ key }) => {
        if (key === "workers/odd") {
          throw new Error("x".repeat(1_000_000));
        }
        handled.push(key);
      },
      mayBeIncomplete: () => false,
    },
  });
  void follower.run(1);
  await vi.advanceTimersByTimeAsync(12_000);
  follower.stop();
  expect(listCount).toBeGreaterThan(1);
  expect(handled.length).toBeGreaterThan(20);
  expect(new Set(handled)).toEqual(new Set(["workers/a", "workers/z"]));
  expect(errors).toContain("workers/odd");
});
