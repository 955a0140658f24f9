import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const WAIT_OPTIONS = { timeout: 30_000 };

const BOARDWISE = [
  "boardwise-office",
  "community-schools",
  "diocese-east",
  "diocese-west",
  "education-board",
  "gaelscoil-trust",
];
const BRUGHIERA = [
  "bergamo-herbs",
  "brughiera-office",
  "como-nutrition",
  "lecco-bikes",
  "mantova-wines",
  "verona-pharmacies",
];

let directory: string;
let platform: ChildProcess;
let url: string;

function start(program: string, args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [join(ROOT, "dist", program), ...args]);
}

function operator(name: string, args: readonly string[]): ChildProcess {
  const settings = join(directory, `${name}.toml`);
  writeFileSync(settings, `operator = "${name}"\n[store]\nurl = "${url}"\ntimeoutMs = 5000`);
  return start("jackdawlink.js", [...args, "--json", "--settings", settings]);
}

async function finish(child: ChildProcess) {
  const pieces: string[] = [];
  child.stdout?.on("data", (piece) => pieces.push(String(piece)));
  const [exitCode] = await once(child, "close");
  const text = pieces.join("");
  return { exitCode, json: text === "" ? null : JSON.parse(text) };
}

async function setFaults(faults: object): Promise<void> {
  await fetch(`${url}/control/faults`, { method: "POST", body: JSON.stringify(faults) });
}

async function writesOf(name: string): Promise<number> {
  const response = await fetch(`${url}/control/counters`);
  const counters = await response.json() as {
    byClient: Record<string, { write: number } | undefined>;
  };
  return counters.byClient[`jackdawlink-${name}`]?.write ?? 0;
}

beforeEach(async () => {
  directory = mkdtempSync(join(tmpdir(), "jackdawlink-"));
  platform = start("stand-in-platform.js", ["--address", "127.0.0.1:0"]);
  const [line] = await once(platform.stdout!, "data");
  url = `http://${JSON.parse(String(line)).address}`;
});

afterEach(async () => {
  platform.kill();
  await once(platform, "exit");
  rmSync(directory, { recursive: true });
});

describe("jackdawlink as a process", () => {
  it("lets exactly one of two concurrent operators publish", async () => {
    await setFaults({ rules: [{ kinds: ["write"], delayMs: 1_000 }] });
    const racers = ["boardwise", "brughiera"].map((name) =>
      finish(operator(name, ["apply", join(ROOT, "examples", `${name}.toml`)]))
    );
    const results = await Promise.all(racers);
    expect(results.map(({ exitCode }) => exitCode).sort()).toEqual([0, 3]);
    const loser = results.find(({ exitCode }) => exitCode === 3);
    expect(loser?.json.error.type).toBe("ConfigConflictError");
  });

  it("publishes all of a change or nothing if it is killed", async () => {
    const boardwise = join(ROOT, "examples/boardwise.toml");
    await finish(operator("first", ["apply", boardwise]));
    await setFaults({ rules: [{ clients: ["jackdawlink-killed"], delayMs: 300 }] });
    const brughiera = join(ROOT, "examples/brughiera.toml");
    const killed = operator("killed", ["apply", brughiera, "--prune"]);
    await vi.waitFor(async () => expect(await writesOf("killed")).toBe(1), WAIT_OPTIONS);
    killed.kill("SIGKILL");
    await once(killed, "exit");
    const readWorkspaces = async () => {
      const { exitCode, json } = await finish(operator("reader", ["get", "workspaces"]));
      expect(exitCode).toBe(0);
      return { revision: json.revision, names: Object.keys(json.objects.workspaces).sort() };
    };
    const before = await readWorkspaces();
    expect(before.names).toEqual(before.revision === 1 ? BOARDWISE : BRUGHIERA);
    await vi.waitFor(
      async () => expect(await readWorkspaces()).toEqual({ revision: 2, names: BRUGHIERA }),
      WAIT_OPTIONS,
    );
  });
});
