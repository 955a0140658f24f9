/**
 * Starts the built programs for tests and kills the started processes at the end.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import type * as entry from "@jackdawlink/entry";

/** The time limit for a condition. */
export const CONDITION_TIMEOUT_MS = 30_000;
const POLL_MS = 25;

/** A running program with its parsed ready line and its log lines. */
export interface Program<TReady> {
  readonly child: ChildProcess;
  readonly ready: TReady;
  readonly logLines: string[];
  exitCode(): Promise<number | null>;
}

/** A running entry; its ready line holds the bound addresses. */
export type EntryProgram = Program<entry.entry.EntryAddresses>;

/** Timing settings for tests: shorter than the defaults, in the same proportions. */
export const TIMING = {
  heartbeatMs: 200,
  freshForMs: 1_200,
  suspectAfterMs: 1_500,
  memberLeaseSeconds: 2,
  headPollMs: 400,
  maxStoreOutageMs: 60_000,
} as const;

/** Starts programs and kills all of them at the end of a test. */
export class Programs {
  readonly #directory = mkdtempSync(join(tmpdir(), "jackdawlink-entry-test-"));
  readonly #children: ChildProcess[] = [];

  async startPlatform(): Promise<Program<{ address: string }>> {
    return await this.#start("stand-in-platform", ["--address", "127.0.0.1:0"]);
  }

  async startEntry(memberId: string, settings: Record<string, unknown>): Promise<EntryProgram> {
    const file = join(this.#directory, `${memberId}.toml`);
    writeFileSync(file, toToml({ memberId, ...settings }));
    return await this.#start("jackdawlink-entry", ["--settings", file]);
  }

  /** Kills all programs that are still running. */
  killAll(): void {
    this.#children.forEach((child) => child.kill("SIGKILL"));
  }

  async #start<TReady>(program: string, args: readonly string[]): Promise<Program<TReady>> {
    const child = spawn(process.execPath, [`dist/${program}.js`, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.push(child);
    const logLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", (line) => logLines.push(line));
    const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
    const ready = await new Promise<TReady>((resolve, reject) => {
      createInterface({ input: child.stdout }).once("line", (line) => resolve(JSON.parse(line)));
      void exited.then((code) =>
        reject(new Error(`${program} ended with ${code}: ${logLines.join("\n")}`))
      );
    });
    return { child, ready, logLines, exitCode: () => exited };
  }
}

/** Polls until a condition holds; on timeout throws an error with the last value. */
export async function waitUntil<TValue>(
  read: () => Promise<TValue>,
  holds: (value: TValue) => boolean,
): Promise<TValue> {
  const deadlineMs = Date.now() + CONDITION_TIMEOUT_MS;
  for (;;) {
    const value = await read().catch((error: Error) => error);
    if (!(value instanceof Error) && holds(value)) {
      return value;
    }
    if (Date.now() > deadlineMs) {
      const seen = value instanceof Error ? value.message : JSON.stringify(value);
      throw new Error(
        `the condition was not met within ${CONDITION_TIMEOUT_MS} ms; last value: ${seen}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Formats settings as TOML; supports scalars, arrays of strings and one level of tables. */
function toToml(settings: Record<string, unknown>): string {
  const isTable = (value: unknown) =>
    typeof value === "object" && value !== null && !Array.isArray(value);
  const entries = Object.entries(settings);
  const lineOf = ([name, value]: [string, unknown]) => `${name} = ${JSON.stringify(value)}`;
  const scalars = entries.filter(([, value]) => !isTable(value)).map(lineOf);
  const tables = entries.filter(([, value]) => isTable(value)).map(([name, value]) =>
    [`[${name}]`, ...Object.entries(value as Record<string, unknown>).map(lineOf)].join("\n")
  );
  return [...scalars, ...tables].join("\n");
}
