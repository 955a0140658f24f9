import { defineConfig } from "vitest/config";

/** Unit and model tests run in parallel; tests that start processes run one file at a time. */
export default defineConfig({
  test: {
    projects: [
      {
        test: {
          name: "unit",
          include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
          // The ES modules of clipanion import a directory, which Node.js does not resolve.
          server: { deps: { inline: ["clipanion"] } },
          testTimeout: 60_000,
        },
      },
      {
        test: {
          name: "processes",
          include: ["packages/*/test/**/*_test.ts"],
          testTimeout: 180_000,
          hookTimeout: 60_000,
          fileParallelism: false,
        },
      },
    ],
  },
});
