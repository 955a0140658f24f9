/**
 * Starts and stops the built programs as child processes for tests and benchmarks.
 *
 * @module
 */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";
import { fileURLToPath } from "node:url";
import { errors } from "@jackdawlink/schema";

/** A program exited or timed out before it printed its ready line. */
export const ProcessStartError = errors.JackdawlinkError.subclass("ProcessStartError");

const READY_TIMEOUT_MS = 30_000;
const MAX_KEPT_LINES = 20_000;

/** The JSON object that a program prints once it accepts requests. */
export type ReadyLine = Readonly<Record<string, unknown>> & { readonly ready: true };

/** How to start a program. */
export interface StartOptions {
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Options of Node.js itself, such as `--max-semi-space-size=1`. */
  readonly nodeArgs?: readonly string[];
  /** False for a program that prints no ready line. */
  readonly awaitReady?: boolean;
}

/** One child process. */
export class ChildProgram {
  readonly program: string;
  readonly lines: string[] = [];
  readonly exited: Promise<{ code: number | null; signal: string | null }>;
  ready: ReadyLine | null = null;
  readonly #child: childProcess.ChildProcess;

  constructor(program: string, child: childProcess.ChildProcess) {
    this.program = program;
    this.#child = child;
    this.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => resolve({ code, signal }));
    });
  }

  /** The process id. */
  get pid(): number {
    return this.#child.pid ?? -1;
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Sends a signal to the process, if it is still running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(signal);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited;
  }

  /** Stops the process with SIGTERM and returns its exit code; null if a signal ended it. */
  async stop(): Promise<number | null> {
    this.signal("SIGTERM");
    const { code } = await this.exited;
    return code;
  }

  /** The output lines that contain a text. */
  linesWith(text: string): readonly string[] {
    return this.lines.filter((line) => line.includes(text));
  }

  /** Stores one line of output; the first ready line is parsed into `ready`. */
  keepLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > MAX_KEPT_LINES) this.lines.shift();
    this.ready ??= parseReadyLine(line);
  }
}

/** The processes of one test. Call {@link stopAll} in its cleanup. */
export class Processes {
  readonly #children = new Set<ChildProgram>();

  /** Starts `dist/<program>.js` and waits for its ready line. */
  async start(
    program: string,
    { args = [], env = {}, nodeArgs = [], awaitReady = true }: StartOptions = {},
  ): Promise<ChildProgram> {
    const file = path.join(distDirectory(), `${program}.js`);
    const child = childProcess.spawn(process.execPath, [...nodeArgs, file, ...args], {
      env: { ...process.env, ...env },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const childProgram = new ChildProgram(program, child);
    this.#children.add(childProgram);
    const ready = collectOutput(childProgram, child);
    if (awaitReady) await waitForReady(childProgram, ready);
    return childProgram;
  }

  /** Kills every process that is still running. */
  async stopAll(): Promise<void> {
    const children = [...this.#children];
    this.#children.clear();
    await Promise.all(children.map((child) => child.kill()));
  }
}

/** The output directory of `npm run build`; `JACKDAWLINK_DIST` overrides it. */
export function distDirectory(): string {
  const configured = process.env["JACKDAWLINK_DIST"];
  if (configured !== undefined) return configured;
  const here = path.dirname(fileURLToPath(import.meta.url));
  const root = here.endsWith("dist") ? path.dirname(here) : path.resolve(here, "../../..");
  return path.join(root, "dist");
}

function collectOutput(program: ChildProgram, child: childProcess.ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    for (const stream of [child.stdout!, child.stderr!]) {
      readline.createInterface({ input: stream }).on("line", (line) => {
        program.keepLine(line);
        if (program.ready !== null) resolve();
      });
    }
  });
}

async function waitForReady(program: ChildProgram, ready: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<"late">((resolve) => {
    timer = setTimeout(() => resolve("late"), READY_TIMEOUT_MS);
  });
  const end = await Promise.race([ready, program.exited.then(() => "exited" as const), late]);
  clearTimeout(timer);
  if (end === undefined) return;
  const tail = program.lines.slice(-10).join("\n");
  throw new ProcessStartError(`${program.program} is not ready (${end}); it wrote: ${tail}`);
}

function parseReadyLine(line: string): ReadyLine | null {
  if (!line.startsWith("{")) return null;
  try {
    const value = JSON.parse(line) as { ready?: unknown };
    return value.ready === true ? value as ReadyLine : null;
  } catch {
    return null;
  }
}
