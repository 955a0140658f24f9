/**
 * Runs a load generator in a separate process, so that other work of the experiment, such as
 * reading log lines of the entries, does not delay requests.
 *
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as schema from "@jackdawlink/schema";
import type * as testing from "@jackdawlink/testing";
import * as v from "valibot";
import { LoadGenerator } from "./load_generator.ts";
import * as loadSpec from "./load_spec.ts";

/** A load generator process failed. */
export const LoadError = schema.errors.JackdawlinkError.subclass("LoadError");

/** The name of the internal command that runs a load generator. */
export const GENERATE_LOAD_COMMAND = "generate-load";
const PROGRAM = "jackdawlink-bench";

/** Runs a load generator against a system and returns its result. */
export async function runLoad(
  system: testing.testSystem.TestSystem,
  spec: loadSpec.LoadSpecInput,
): Promise<loadSpec.LoadResult> {
  const directory = fs.mkdtempSync(path.join(system.directory, "load-"));
  const specFile = path.join(directory, "spec.json");
  const resultFile = path.join(directory, "result.json");
  fs.writeFileSync(specFile, JSON.stringify(spec));
  const program = await system.processes.start(PROGRAM, {
    args: [GENERATE_LOAD_COMMAND, specFile, resultFile],
    awaitReady: false,
  });
  const { code } = await program.exited;
  if (code !== 0) throw new LoadError(`The load generator failed: ${program.lines.join("\n")}`);
  return v.parse(loadSpec.loadResultSchema, JSON.parse(fs.readFileSync(resultFile, "utf8")));
}

/** The body of the process: reads the specification, runs it and writes the result. */
export async function generateLoad(files: { specFile: string; resultFile: string }): Promise<void> {
  const spec = JSON.parse(fs.readFileSync(files.specFile, "utf8"));
  const result = await new LoadGenerator(v.parse(loadSpec.loadSpecSchema, spec)).run();
  fs.writeFileSync(files.resultFile, JSON.stringify(result));
}
