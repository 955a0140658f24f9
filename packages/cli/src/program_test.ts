import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Writable } from "node:stream";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as v from "valibot";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EXIT_CODES } from "./exit_codes.ts";
import { runProgram } from "./program.ts";

const CONFIG = `
[workspaces.parish]
[teams.packs]
workspace = "parish"
[pools.evening]
[pools.spare]
spare = true
[services.packs]
pool = "evening"
[backendServers.packs-1]
service = "packs"
address = "127.0.0.1:7001"
vm = "vm-1"
availabilityZone = "eu-west-a"
[backendServers.packs-2]
service = "packs"
address = "127.0.0.1:7002"
vm = "vm-2"
availabilityZone = "eu-west-b"
[availabilityBudgets.evening]
pool = "evening"
maxUnavailable = 1
`;

/** Without faults the stand-in answers immediately, so this time-out is never reached. */
const SOUND_STORE_TIMEOUT_MS = 10_000;
/** Short, as commands with an injected fault run into this time-out. */
const FAULTY_STORE_TIMEOUT_MS = 500;

let storeTimeoutMs = SOUND_STORE_TIMEOUT_MS;
let directory: string;
let platform: testing.platformServer.PlatformServer;
const servers: Server[] = [];

function file(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

function settingsFile(name = "ann", fields = ""): string {
  const text =
    `operator = "${name}"\n${fields}\n[store]\nurl = "${platform.url}"\ntimeoutMs = ${storeTimeoutMs}`;
  return file(`${name}.settings.toml`, text);
}

function collector() {
  const pieces: string[] = [];
  const stream = new Writable({
    write: (piece, _encoding, done) => {
      pieces.push(String(piece));
      done();
    },
  });
  return { stream, text: () => pieces.join("") };
}

async function run(...args: string[]) {
  const [stdout, stderr] = [collector(), collector()];
  const env = { JACKDAWLINK_SETTINGS: settingsFile() };
  const context = { stdout: stdout.stream, stderr: stderr.stream, env };
  const exitCode = await runProgram(args, context);
  return { exitCode, stdout: stdout.text(), stderr: stderr.text() };
}

async function runJson(...args: string[]) {
  const { exitCode, stdout } = await run(...args, "--json");
  return { exitCode, json: JSON.parse(stdout) };
}

function setFaults(faults: object): void {
  storeTimeoutMs = FAULTY_STORE_TIMEOUT_MS;
  platform.store.faults.set(v.parse(testing.platformFaults.faultsSchema, faults));
}

/** Serves the HTTP interface for operators with a fixed JSON answer for each path. */
async function serveOperators(answers: Record<string, () => unknown>): Promise<string> {
  const server = createServer((request, response) => {
    const answer = answers[request.url ?? ""];
    if (answer === undefined) response.writeHead(404);
    response.end(JSON.stringify(answer?.() ?? {}));
  });
  servers.push(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function statusOf(
  { index = 0, ...fields }: { index?: number } & Partial<schema.operator.Status>,
): schema.operator.Status {
  return {
    memberId: `entry-${index}`,
    incarnation: "1",
    fresh: true,
    freshBy: "store",
    revision: 0,
    acceptedRevision: 0,
    members: [],
    draining: false,
    ...fields,
  };
}

async function listMembers(addresses: readonly string[]): Promise<void> {
  const clock = new adapters.clock.SystemClock();
  const log = adapters.log.SILENT_LOG;
  const settings = v.parse(schema.settings.storeSchema, { url: platform.url });
  const store = new adapters.platformStore.PlatformStore({ settings, clock, log });
  const repository = new adapters.headRepository.HeadRepository({ store, clock, log });
  const members = addresses.map((operatorAddress, index) => ({
    memberId: `entry-${index}`,
    incarnation: "1",
    peerAddress: "127.0.0.1:1",
    operatorAddress,
    availabilityZone: "eu-west-a",
    leaving: false,
  }));
  const update = { author: "test", summary: "join", mutate: () => ({ members }) };
  (await repository.update(update))._unsafeUnwrap();
  await store.close();
}

beforeEach(async () => {
  storeTimeoutMs = SOUND_STORE_TIMEOUT_MS;
  directory = mkdtempSync(join(tmpdir(), "jackdawlink-"));
  platform = await testing.platformServer.startPlatform("127.0.0.1:0");
});

afterEach(async () => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
  await platform.close();
  rmSync(directory, { recursive: true });
});

describe("exit codes", () => {
  it.each([
    { title: "a valid file", args: ["check", "config.toml"], exitCode: EXIT_CODES.ok },
    { title: "a file with findings", args: ["check", "bad.toml"], exitCode: EXIT_CODES.refused },
    { title: "an apply with findings", args: ["apply", "bad.toml"], exitCode: EXIT_CODES.refused },
    { title: "a missing file", args: ["apply", "lost.toml"], exitCode: EXIT_CODES.usage },
    { title: "an unknown command", args: ["apple"], exitCode: EXIT_CODES.usage },
    { title: "no file", args: ["apply"], exitCode: EXIT_CODES.usage },
    { title: "an unknown option", args: ["status", "--color"], exitCode: EXIT_CODES.usage },
    {
      title: "a time-out that is not a number",
      args: ["apply", "config.toml", "--timeout-ms", "soon"],
      exitCode: EXIT_CODES.usage,
    },
    {
      title: "missing settings",
      args: ["status", "--settings", "lost.toml"],
      exitCode: EXIT_CODES.usage,
    },
    { title: "an unknown kind", args: ["get", "clans"], exitCode: EXIT_CODES.usage },
    { title: "an unknown object", args: ["get", "teams", "lost"], exitCode: EXIT_CODES.refused },
    { title: "an unknown key", args: ["key", "withdraw", "lost"], exitCode: EXIT_CODES.refused },
    { title: "an unknown server", args: ["drain", "lost"], exitCode: EXIT_CODES.refused },
    {
      title: "a key of an unknown team",
      args: ["key", "grant", "a", "--team", "lost"],
      exitCode: EXIT_CODES.refused,
    },
    {
      title: "an invalid name",
      args: ["key", "grant", "No Name", "--team", "packs"],
      exitCode: EXIT_CODES.usage,
    },
  ])("report $title", async ({ args, exitCode }) => {
    file("config.toml", CONFIG);
    file("bad.toml", `${CONFIG}\n[teams.north]\nworkspace = "lost"`);
    const inDirectory = args.map((arg) => arg.endsWith(".toml") ? join(directory, arg) : arg);
    const result = await run(...inDirectory);
    expect(result.exitCode).toBe(exitCode);
    expect(result.stdout + result.stderr).not.toBe("");
    expect(platform.store.table.get(schema.storeKeys.HEAD)).toBeUndefined();
  });

  it.each([
    { outage: "refused" },
    { outage: "hung" },
    { outage: "error" },
  ])("report that the store is unavailable: $outage", async ({ outage }) => {
    setFaults({ rules: [{ outage }] });
    const { exitCode, json } = await runJson("apply", file("config.toml", CONFIG));
    expect(exitCode).toBe(EXIT_CODES.storeUnavailable);
    expect(json.error.type).toBe("StoreUnavailableError");
  });
});

describe("apply", () => {
  it("publishes a change once, prints it, and changes nothing the second time", async () => {
    const path = file("config.toml", CONFIG);
    const first = await runJson("apply", path);
    expect(first).toMatchObject({ exitCode: EXIT_CODES.ok, json: { revision: 1 } });
    expect(first.json.changes).toHaveLength(8);
    expect(await runJson("apply", path)).toMatchObject({ json: { revision: 1, changes: [] } });
    expect((await run("get", "pools")).stdout).toContain("[pools.spare]\nspare = true");
    const history = await runJson("history");
    expect(history.json.revisions).toMatchObject([{ revision: 1, author: "ann" }]);
  });

  it("publishes once even if the answer is lost", async () => {
    setFaults({ seed: 3, rules: [{ kinds: ["write"], loseAnswerProbability: 1 }] });
    const result = await runJson("apply", file("config.toml", CONFIG));
    expect(result).toMatchObject({ exitCode: EXIT_CODES.ok, json: { revision: 1 } });
  });

  it("lets one of two concurrent operators publish and reports the difference to the other", async () => {
    setFaults({ rules: [{ clients: ["jackdawlink-ben"], kinds: ["write"], delayMs: 400 }] });
    const ours = file("ours.toml", CONFIG);
    const theirs = file("theirs.toml", `${CONFIG}\n[workspaces.other]`);
    const ben = runJson("apply", theirs, "--settings", settingsFile("ben"));
    while (platform.store.counters().byClient["jackdawlink-ben"]?.write !== 1) {
      await new Promise(setImmediate);
    }
    expect(await runJson("apply", ours)).toMatchObject({ exitCode: EXIT_CODES.ok });
    const lost = await ben;
    expect(lost.exitCode).toBe(EXIT_CODES.conflict);
    expect(lost.json.error.type).toBe("ConfigConflictError");
    expect(lost.json.error.details).toContain("+ teams/packs");
    expect((await runJson("get", "workspaces")).json.objects.workspaces).not.toHaveProperty(
      "other",
    );
  });

  it("refuses a file based on an older revision", async () => {
    const path = file("config.toml", CONFIG);
    await run("apply", path);
    await run("drain", "packs-1");
    const refused = await runJson("apply", path, "--from-revision", "1");
    expect(refused.exitCode).toBe(EXIT_CODES.conflict);
    expect(refused.json.error.message).toContain("backendServers/packs-1 draining");
    expect((await runJson("apply", path, "--from-revision", "2")).exitCode).toBe(EXIT_CODES.ok);
  });

  it.each([
    { title: "no member", reports: [], held: 0, isAccepted: true },
    { title: "a majority reports it in force", reports: [9, 9, 0], held: 2, isAccepted: true },
    { title: "one member reports it in force", reports: [9, 0, 0], held: 3, isAccepted: true },
    {
      title: "all hold it, but none reports it in force",
      reports: [0, 0, 0],
      held: 3,
      isAccepted: false,
    },
    { title: "half hold it", reports: [0, 0], held: 1, isAccepted: false },
    { title: "an older revision in force", reports: [1, 1, 1], held: 0, isAccepted: false },
    { title: "another incarnation", reports: [9], held: 0, incarnation: "2", isAccepted: false },
  ])(
    "waits until the revision is in force: $title",
    async ({ reports, held, incarnation = "1", isAccepted }) => {
      const addresses = await Promise.all(reports.map((acceptedRevision, index) => {
        const revision = index < held || incarnation !== "1" ? 9 : 0;
        return serveOperators({
          "/v1/status": () => statusOf({ index, incarnation, revision, acceptedRevision }),
        });
      }));
      await listMembers(addresses);
      const path = file("config.toml", CONFIG);
      const { exitCode, json } = await runJson("apply", path, "--wait", "--timeout-ms", "300");
      expect(json.acceptance).toMatchObject({ isAccepted, reportingCount: held });
      expect(exitCode).toBe(isAccepted ? EXIT_CODES.ok : EXIT_CODES.notYetInForce);
    },
  );
});

describe("edits", () => {
  it("grants a key without storing its secret, and withdraws it permanently", async () => {
    const path = file("config.toml", CONFIG);
    await run("apply", path);
    const granted = await runJson("key", "grant", "laptop", "--team", "packs");
    const { secret } = granted.json;
    const stored = JSON.stringify(platform.store.table.range({ key: "\x01", end: "\0" }));
    expect(stored).not.toContain(secret);
    expect(stored).toContain(createHash("sha256").update(secret).digest("hex"));
    expect((await run("key", "grant", "laptop", "--team", "packs")).exitCode).toBe(1);
    await run("key", "withdraw", "laptop");
    await run("apply", path, "--prune");
    const { json } = await runJson("get", "keys", "laptop");
    expect(json.objects.keys.laptop.withdrawn).toBe(true);
  });

  it("plans, starts, pauses and resumes a wave, in this order only", async () => {
    await run("apply", file("config.toml", CONFIG));
    const steps = [
      { args: ["start"], exitCode: 1 },
      { args: ["plan", "--pool", "evening"], exitCode: 0 },
      { args: ["plan", "--pool", "evening"], exitCode: 1 },
      { args: ["resume"], exitCode: 1 },
      { args: ["start"], exitCode: 0 },
      { args: ["start"], exitCode: 1 },
      { args: ["pause"], exitCode: 0 },
      { args: ["resume"], exitCode: 0 },
    ];
    for (const { args: [step = "", ...rest], exitCode } of steps) {
      const result = await run("wave", step, "monthly", ...rest);
      expect(result.exitCode, `${step}: ${result.stderr}`).toBe(exitCode);
    }
  });

  it("drains a backend server and puts it back into service", async () => {
    await run("apply", file("config.toml", CONFIG));
    const isDraining = async () =>
      (await runJson("get", "backendServers", "packs-1")).json.objects.backendServers["packs-1"]
        .draining;
    await run("drain", "packs-1");
    expect(await isDraining()).toBe(true);
    await run("undrain", "packs-1");
    expect(await isDraining()).toBe(false);
  });

  it("report only the warnings that they introduce", async () => {
    const unguarded = CONFIG.replace(/\[availabilityBudgets[^]*$/, "");
    const applied = await runJson("apply", file("config.toml", unguarded));
    expect(applied.json.warnings).not.toEqual([]);
    expect((await runJson("drain", "packs-1")).json.warnings).toEqual([]);
    const { json } = await runJson("drain", "packs-2");
    expect(json.warnings).toMatchObject([{ message: "all its backend servers are draining" }]);
  });

  it("all take effect if made concurrently to different objects", async () => {
    await run("apply", file("config.toml", CONFIG));
    const names = ["one", "two", "three", "four"];
    const results = await Promise.all(
      names.map((name) => run("key", "grant", name, "--team", "packs")),
    );
    expect(results.map(({ exitCode }) => exitCode)).toEqual([0, 0, 0, 0]);
    const { json } = await runJson("get", "keys");
    expect(Object.keys(json.objects.keys).sort()).toEqual([...names].sort());
  });
});

describe("reports", () => {
  it("merge the explanations of all processes by time", async () => {
    const line = (atMs: number, message: string) => ({ atMs, part: "router", message, fields: {} });
    const path = "/v1/explain/request-1";
    const first = await serveOperators({ [path]: () => ({ lines: [line(3, "c"), line(1, "a")] }) });
    const second = await serveOperators({ [path]: () => ({ lines: [line(2, "b")] }) });
    const broken = await serveOperators({ [path]: () => ({ lines: "none" }) });
    await listMembers([first, broken]);
    const settings = settingsFile("ann-explain", `stewards = ["${second}"]`);
    const { exitCode, json } = await runJson("explain", "request-1", "--settings", settings);
    expect(exitCode).toBe(EXIT_CODES.ok);
    expect(json.lines.map(({ message }: { message: string }) => message)).toEqual(["a", "b", "c"]);
    expect(json.unreachable).toHaveLength(1);
    expect((await run("explain", "request-2")).exitCode).toBe(EXIT_CODES.refused);
  });

  it("print the status of entries while the store is unavailable", async () => {
    const status = statusOf({ revision: 4 });
    const address = await serveOperators({ "/v1/status": () => status });
    setFaults({ rules: [{ outage: "refused" }] });
    const settings = settingsFile("ann-status", `entries = ["${address}"]`);
    const { exitCode, json } = await runJson("status", "--settings", settings);
    expect(exitCode).toBe(EXIT_CODES.storeUnavailable);
    expect(json.entries).toMatchObject([{ address, status: { revision: 4 } }]);
  });
});
