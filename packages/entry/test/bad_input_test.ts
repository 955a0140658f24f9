import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as toml from "smol-toml";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { WebSocket } from "ws";

const TEAM = "billing";
const QUEUE = "renewals";
const KEY = testing.exampleConfig.exampleSecret(TEAM);
const AUTHORIZATION = { authorization: `Bearer ${KEY}` };
const PATH = `/v1/queues/${QUEUE}/work`;
const UNKNOWN_DIGEST = "0".repeat(64);
const HUGE_BYTES = 9_000_000;

describe("invalid input", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: ["zone-a"],
    entryCount: 1,
  });
  const caller = new testing.caller.Caller();

  beforeAll(async () => {
    await system.start();
    await system.publishExample({
      availabilityZones: ["zone-a"],
      services: [QUEUE],
      backendServersPerService: 1,
      teams: { [TEAM]: { weight: 1 } },
    });
  });

  afterAll(async () => {
    await caller.close();
    await system.stop();
  });

  /** The same process still serves a valid request, with the previous configuration. */
  afterEach(async () => {
    const [entry] = system.entries;
    expect(entry!.program.isRunning).toBe(true);
    const { callerUrl: entryUrl } = entry!;
    const answer = await caller.send({ entryUrl, queue: QUEUE, path: "/work", key: KEY });
    expect(answer).toMatchObject({ outcome: "answered", status: 200 });
  });

  it.each([
    {
      title: "several issues",
      fields: { memberId: "Entry 1", peerAddress: "localhost:1", colour: "red", timing: { x: 1 } },
      issues: ["memberId: ", "peerAddress: ", "colour: ", "timing.x: "],
    },
    {
      title: "ports and IP addresses out of range",
      fields: { callerAddress: "127.0.0.1:70000", operatorAddress: "300.0.0.1:0" },
      issues: ["callerAddress: ", "operatorAddress: "],
    },
    {
      title: "wrong types",
      fields: { shutdownGraceMs: "soon", seedPeerAddresses: 3, store: { url: 4 } },
      issues: ["shutdownGraceMs: ", "seedPeerAddresses: ", "store.url: "],
    },
    {
      title: "a missing certificate file",
      fields: { peerTls: { certificateFile: "/lost", keyFile: "/lost", authorityFile: "/lost" } },
      issues: ["A file of peerTls cannot be read"],
    },
  ])("in settings fails the start and reports all issues: $title", async ({ fields, issues }) => {
    const settings = {
      memberId: "entry-9",
      availabilityZone: "zone-a",
      callerAddress: "127.0.0.1:0",
      operatorAddress: "127.0.0.1:0",
      peerAddress: "127.0.0.1:0",
      store: { url: "http://127.0.0.1:1" },
      ...fields,
    };
    const file = path.join(system.directory, "bad.toml");
    fs.writeFileSync(file, toml.stringify(settings));
    const program = await system.processes.start("jackdawlink-entry", {
      args: ["--settings", file],
      awaitReady: false,
    });
    expect((await program.exited).code).toBe(1);
    const output = program.lines.join("\n");
    for (const issue of issues) expect(output).toContain(issue);
    expect(output).not.toContain("Unhandled");
  });

  it.each<{ title: string; headers: Record<string, string>; path?: string; status: number }>([
    { title: "invalid repeatable", headers: { "jackdawlink-repeatable": "maybe" }, status: 400 },
    {
      title: "repeatable that names an inherited property",
      headers: { "jackdawlink-repeatable": "toString" },
      status: 400,
    },
    { title: "invalid urgency", headers: { "jackdawlink-urgency": "__proto__" }, status: 400 },
    { title: "deadline 0", headers: { "jackdawlink-deadline-ms": "0" }, status: 400 },
    { title: "deadline -1", headers: { "jackdawlink-deadline-ms": "-1" }, status: 400 },
    { title: "deadline 1e9", headers: { "jackdawlink-deadline-ms": "1e9" }, status: 400 },
    { title: "invalid idempotency key", headers: { "idempotency-key": "1" }, status: 400 },
    { title: "other authorization scheme", headers: { authorization: "Basic YTpi" }, status: 401 },
    { title: "empty key", headers: { authorization: "Bearer " }, status: 401 },
    {
      title: "queue that names an inherited property",
      path: "/v1/queues/__proto__/x",
      headers: {},
      status: 404,
    },
    {
      title: "queue with an encoded null character",
      path: "/v1/queues/%00/x",
      headers: {},
      status: 404,
    },
    { title: "no path after the queue", path: "/v1/queues/renewals", headers: {}, status: 404 },
  ])("from callers is refused with not-run: $title", async ({ headers, path = PATH, status }) => {
    const answer = await fetch(`${system.entries[0]!.callerUrl}${path}`, {
      method: "POST",
      headers: { ...AUTHORIZATION, ...headers },
    });
    expect(answer.status).toBe(status);
    expect(answer.headers.get(schema.http.OUTCOME_HEADER)).toBe("not-run");
    expect(await answer.json()).toMatchObject({ error: { outcome: "not-run" } });
  });

  it.each([
    { title: "not HTTP", text: "\x16\x03\x01 nonsense\r\n\r\n", status: /^HTTP\/1.1 400/ },
    { title: "an unknown method", text: `NONE ${PATH} HTTP/1.1\r\n\r\n`, status: /^HTTP\/1.1 400/ },
    {
      title: "headers above the size limit",
      text: `GET ${PATH} HTTP/1.1\r\nhost: a\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
      status: /^HTTP\/1.1 431/,
    },
    {
      title: "two content-length headers",
      text: `POST ${PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n`,
      status: /^HTTP\/1.1 400/,
    },
    {
      title: "a content-length above the size limit",
      text: `POST ${PATH} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${KEY}\r\n` +
        `content-length: 999999999\r\nconnection: close\r\n\r\n`,
      status: /^HTTP\/1.1 413/,
    },
  ])("on a caller's connection is refused: $title", async ({ text, status }) => {
    const { hostname, port } = new URL(system.entries[0]!.callerUrl);
    const answer = await new Promise<string>((resolve) => {
      const socket = net.connect(Number(port), hostname, () => socket.write(text));
      socket.on("error", () => undefined);
      socket.once("data", (data) => {
        socket.destroy();
        resolve(String(data));
      });
      socket.once("close", () => resolve(""));
    });
    expect(answer).toMatch(status);
  });

  it.each([
    { path: "/v1/explain/%00", status: 200 },
    { path: `/v1/explain/${"x".repeat(8_000)}`, status: 200 },
    { path: "/v1/explain/%E0%A4%A", status: 200 },
    { path: "/v1/explain/", status: 404 },
    { path: "/v1/status", method: "POST", status: 404 },
    { path: "/none", status: 404 },
  ])("from operators gets status $status: $path", async ({ path, method = "GET", status }) => {
    const answer = await fetch(`${system.entries[0]!.operatorUrl}${path}`, { method });
    await answer.text();
    expect(answer.status).toBe(status);
  });

  it.each([
    { title: "invalid msgpack", data: Uint8Array.of(0xc1) },
    { title: "text", data: "hello" },
    {
      title: "an array header that declares 2^32 - 1 elements",
      data: Uint8Array.of(0xdd, 0xff, 0xff, 0xff, 0xff),
    },
    { title: "a message above the size limit", data: new Uint8Array(HUGE_BYTES) },
  ])("from a peer closes the link: $title", async ({ data }) => {
    const settings = toml.parse(fs.readFileSync(system.entries[0]!.settingsFile, "utf8"));
    const socket = new WebSocket(`ws://${String(settings["peerAddress"])}/`);
    socket.on("error", () => undefined);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.once("open", () => socket.send(data));
    await closed;
  });

  it.each<{
    title: string;
    chunk?: string;
    damage: (head: schema.head.Head) => string;
    exitCode: number;
  }>([
    { title: "invalid JSON", damage: () => "{", exitCode: 2 },
    { title: "JSON that does not match the schema", damage: () => '{"revision":"x"}', exitCode: 2 },
    // A missing chunk may mean that a newer head is about to be published.
    { title: "a missing chunk", damage: withChunk, exitCode: 4 },
    {
      title: "a chunk that does not match its digest",
      chunk: '{"kind":"teams"}',
      damage: withChunk,
      exitCode: 2,
    },
  ])("in the store is reported and not used: $title", async ({ chunk, damage, exitCode }) => {
    const [entry] = system.entries;
    const validHead = await readHead();
    const linesBefore = entry!.program.lines.length;
    if (chunk !== undefined) await writeValue(schema.storeKeys.chunkKey(UNKNOWN_DIGEST), chunk);
    await writeValue(schema.storeKeys.HEAD, damage(JSON.parse(validHead) as schema.head.Head));
    await testing.waitFor.waitFor(
      "a log line about the store's value",
      () => entry!.program.lines.slice(linesBefore).some((line) => / WARN | ERROR /.test(line)),
    );
    const { code, output } = await system.command(["get"]);
    await writeValue(schema.storeKeys.HEAD, validHead);
    expect(code, output).toBe(exitCode);
    expect(output).toMatch(/^[A-Za-z]+Error: /);
    expect(output).not.toContain("    at ");
    await system.waitUntilFresh();
    const args = ["key", "grant", `key-${linesBefore}`, "--team", TEAM, "--wait"];
    const granted = await system.command(args);
    expect(granted.code, granted.output).toBe(0);
  });

  /** Returns the head with the next revision and a chunk of an unknown digest. */
  function withChunk(head: schema.head.Head): string {
    const revision = head.revision + 1;
    const chunks = [{ digest: UNKNOWN_DIGEST, bytes: 1 }];
    return JSON.stringify({
      ...head,
      revision,
      configRevision: revision,
      changeId: "damaged",
      chunks,
    });
  }

  async function callStore(path: string, body: object): Promise<unknown> {
    const answer = await fetch(`${system.platformUrl}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    return await answer.json();
  }

  async function readHead(): Promise<string> {
    const key = btoa(schema.storeKeys.HEAD);
    const { kvs } = await callStore("/v3/kv/range", { key }) as { kvs: { value: string }[] };
    return atob(kvs[0]!.value);
  }

  async function writeValue(key: string, value: string): Promise<void> {
    await callStore("/v3/kv/put", { key: btoa(key), value: btoa(value) });
  }
});
