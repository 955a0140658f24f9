import { afterEach, describe, expect, it } from "vitest";
import type { config } from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as uuid from "uuid";
import * as fixtures from "./request_path_fixture.ts";

const processes = new testing.processes.Processes();
let fixture: fixtures.Fixture | null = null;

afterEach(async () => {
  await fixture?.stop();
  fixture = null;
  await processes.stopAll();
});

type Options = Parameters<typeof fixtures.configFor>[1];
type Servers = readonly testing.backendServerClient.BackendServerClient[];

async function start(
  names: readonly string[],
  options: Options = {},
  { lingerMs = 0 }: { lingerMs?: number } = {},
) {
  const servers = await Promise.all(
    names.map((name) =>
      testing.backendServerClient.startBackendServer(processes, { name, lingerMs })
    ),
  );
  fixture = new fixtures.Fixture(fixtures.configFor(servers, options));
  await fixture.start();
  return { servers, fixture };
}

/** Returns the runs recorded by the backend servers that are still up, ordered by start time. */
async function runsOf(servers: Servers): Promise<testing.backendServerRecord.Run[]> {
  const runs = await Promise.all(servers.map(runsOfOne));
  return runs.flat().sort((a, b) => a.startedAtMs - b.startedAtMs);
}

/**
 * Returns the runs recorded by a backend server, or none if its process has exited. A process that
 * is up but doesn't answer makes the test time out.
 */
async function runsOfOne(
  server: testing.backendServerClient.BackendServerClient,
): Promise<readonly testing.backendServerRecord.Run[]> {
  try {
    return (await server.record()).runs;
  } catch {
    await server.program.exited;
    return [];
  }
}

describe("served requests", () => {
  it("runs a request for the team of its key and does not log the key", async () => {
    const { servers, fixture } = await start(["a"]);
    const view = await fixture.send("renew/orders?runMs=5", { method: "POST", body: "hello" });
    expect(view).toMatchObject({ status: 200, outcome: "answered" });
    expect(JSON.parse(view.text)).toMatchObject({ team: "billing", path: "/orders?runMs=5" });
    const runs = await runsOf(servers);
    expect(runs).toMatchObject([{ requestId: view.requestId, team: "billing", end: "whole" }]);
    expect(JSON.stringify(fixture.lines)).not.toContain(fixtures.SECRET);
    expect(fixture.path.explain(view.requestId!)!.map(({ message }) => message)).toEqual([
      "Routed",
      "Ended",
    ]);
  });

  it.each([{ method: "GET" }, { method: "HEAD" }, { method: "DELETE" }])(
    "forwards $method and keeps using the backend server",
    async ({ method }) => {
      const { servers, fixture } = await start(["a"]);
      for (let count = 0; count < 3; count++) {
        expect(await fixture.send("renew/x", { method })).toMatchObject({ status: 200 });
      }
      expect((await runsOf(servers)).map((run) => run.method)).toEqual([method, method, method]);
    },
  );

  it("streams complete large answers to many concurrent callers", async () => {
    const { servers, fixture } = await start(["a", "b"]);
    const views = await Promise.all(
      Array.from(
        { length: 40 },
        (_, index) => fixture.send(`renew/${index}?answerBytes=300000&runMs=${index % 7}`),
      ),
    );
    for (const view of views) {
      expect(view.text).toHaveLength(300_000);
      expect(JSON.parse(view.text).requestId).toBe(view.requestId);
    }
    for (const server of servers) {
      const record = await server.record();
      expect(record.maxRunning).toBeLessThanOrEqual(8);
      expect(record.overlappingOnConnection).toBe(0);
    }
    await testing.waitFor.waitFor("release of all permits", () => fixture.permits.inUse() === 0);
  });
});

describe("refusals", () => {
  it.each<{
    name: string;
    path?: string;
    key?: string | null;
    headers?: Record<string, string>;
    body?: string;
    options?: Options;
    prepare?: (fixture: fixtures.Fixture) => void;
    status: number;
    type: string;
  }>([
    { name: "an unknown queue", path: "none/x", status: 404, type: "unknownQueue" },
    { name: "a missing key", key: null, status: 401, type: "keyMissing" },
    { name: "a wrong key", key: "wrong", status: 401, type: "keyRefused" },
    {
      name: "a wrong key on an open queue",
      path: "open/x",
      key: "wrong",
      status: 401,
      type: "keyRefused",
    },
    { name: "a withdrawn key", options: { withdrawn: true }, status: 401, type: "keyRefused" },
    {
      name: "an idempotency key that is not a UUIDv7",
      headers: { "idempotency-key": "f47ac10b-58cc-4372-a567-0e02b2c3d479" },
      status: 400,
      type: "invalidRequest",
    },
    {
      name: "a deadline that is not a number",
      headers: { "jackdawlink-deadline-ms": "soon" },
      status: 400,
      type: "invalidRequest",
    },
    {
      name: "a body above the size limit",
      body: "x".repeat(101),
      options: { service: { maxRequestBytes: 100 } },
      status: 413,
      type: "requestTooLarge",
    },
    {
      name: "an entry that is not up to date within the staleness bound",
      prepare: ({ membership }) => membership.fresh = false,
      status: 503,
      type: "notFresh",
    },
    {
      name: "an entry that exceeds the staleness bound between admission and sending",
      prepare: ({ membership }) => membership.staleAfterChecks = 3,
      status: 503,
      type: "notFresh",
    },
    {
      name: "no permit within the queue's maximum wait",
      options: { queue: { maxWaitMs: 100 } },
      prepare: ({ permits }) => permits.teamTotal = 0,
      status: 503,
      type: "waitedTooLong",
    },
    {
      name: "no permit within the caller's deadline",
      headers: { "jackdawlink-deadline-ms": "100" },
      prepare: ({ permits }) => permits.teamTotal = 0,
      status: 504,
      type: "deadlineOver",
    },
    {
      name: "a service whose only backend server is draining",
      options: { draining: ["a"], queue: { maxWaitMs: 100 } },
      status: 503,
      type: "waitedTooLong",
    },
    {
      name: "a service whose only backend server is on a draining VM",
      options: { queue: { maxWaitMs: 100 } },
      prepare: ({ drainingVms }) => drainingVms.setVms(["vm-a"]),
      status: 503,
      type: "waitedTooLong",
    },
    {
      name: "a claim that is unavailable",
      headers: { "idempotency-key": uuid.v7() },
      prepare: ({ claims }) => claims.claimResult = "unavailable",
      status: 503,
      type: "claimUnavailable",
    },
  ])("refuses with not-run: $name", async (refusal) => {
    const { servers, fixture } = await start(["a"], refusal.options);
    refusal.prepare?.(fixture);
    const view = await fixture.send(refusal.path ?? "renew/x", {
      method: "POST",
      headers: refusal.headers,
      body: refusal.body ?? "",
      key: refusal.key,
    });
    expect(view).toMatchObject({ status: refusal.status, outcome: "not-run" });
    expect(JSON.parse(view.text).error).toMatchObject({ type: refusal.type, outcome: "not-run" });
    expect(await runsOf(servers)).toEqual([]);
  });

  it("refuses a body above the size limit that has no content-length", async () => {
    const { servers, fixture } = await start(["a"], { service: { maxRequestBytes: 100 } });
    const body = new ReadableStream({
      start(controller) {
        controller.enqueue(new TextEncoder().encode("x".repeat(101)));
        controller.close();
      },
    });
    const view = await fixture.send("renew/x", { method: "POST", body });
    expect(view).toMatchObject({ status: 413, outcome: "not-run" });
    expect(await runsOf(servers)).toEqual([]);
  });

  it("refuses requests beyond the queue's limit and runs the waiting ones later", async () => {
    const { fixture } = await start(["a"], { queue: { maxWaiting: 2 } });
    fixture.permits.teamTotal = 0;
    const waiting = [fixture.send("renew/1"), fixture.send("renew/2")];
    const refused = await testing.waitFor.waitFor("a full queue", async () => {
      const view = await fixture.send("renew/3", { headers: { "jackdawlink-deadline-ms": "50" } });
      return view.status === 429 ? view : null;
    });
    expect(refused).toMatchObject({ outcome: "not-run" });
    fixture.permits.grant({ teamTotal: 8 });
    expect((await Promise.all(waiting)).map(({ status }) => status)).toEqual([200, 200]);
  });

  it("refuses a waiting request whose key is withdrawn", async () => {
    const { servers, fixture } = await start(["a"]);
    fixture.permits.teamTotal = 0;
    const waiting = fixture.send("renew/x");
    await testing.waitFor.waitFor("waiting request", () => fixture.path.unfinished === 1);
    fixture.snapshots.publish(fixtures.configFor(servers, { withdrawn: true }));
    fixture.permits.grant({ teamTotal: 8 });
    expect(await waiting).toMatchObject({ status: 401, outcome: "not-run" });
    expect(await runsOf(servers)).toEqual([]);
  });
});

describe("claims", () => {
  it.each([
    { result: "running" as const, status: 409, outcome: "unknown" },
    { result: "answered" as const, status: 409, outcome: "answered" },
    { result: "mayHaveRun" as const, status: 409, outcome: "unknown" },
    { result: "mismatch" as const, status: 422, outcome: "not-run" },
    { result: "outsideWindow" as const, status: 409, outcome: "unknown" },
  ])("does not run a request with claim result $result", async ({ result, status, outcome }) => {
    const { servers, fixture } = await start(["a"]);
    fixture.claims.claimResult = result;
    const headers = { "idempotency-key": uuid.v7() };
    const view = await fixture.send("renew/x", { method: "POST", headers });
    expect(view).toMatchObject({ status, outcome });
    expect(await runsOf(servers)).toEqual([]);
  });

  it.each([
    { fault: null, end: "answered" },
    { fault: { kind: "truncate" as const }, end: "unknown" },
    { fault: { kind: "refuseRequest" as const }, end: "notRun" },
  ])("records the claim outcome $end after $fault", async ({ fault, end }) => {
    const { servers, fixture } = await start(["a"], { queue: { maxWaitMs: 300 } });
    if (fault !== null) await servers[0]!.setFaults([fault]);
    const idempotencyKey = uuid.v7();
    const headers = { "idempotency-key": idempotencyKey };
    await fixture.send("renew/x?answerBytes=2000", { method: "POST", headers });
    expect(fixture.claims.ends.get(idempotencyKey)).toBe(end);
  });
});

/** A fault of a backend server, and the expected answers to requests that are affected by it. */
interface FaultCase {
  readonly fault: testing.backendServerFaults.FaultInput;
  readonly service?: Partial<config.Service>;
  readonly answerBytes?: number;
  /** Whether the answer uses chunked encoding instead of a content-length. */
  readonly chunked?: boolean;
  /** The expected answer to a POST, which is not repeatable. */
  readonly notRepeatable: { readonly status: number; readonly outcome: string | null };
  /** The expected answer to a GET, which is retried on another backend server. */
  readonly repeatable: { readonly status: number; readonly outcome: string | null };
}

const SERVED = { status: 200, outcome: "answered" };
const UNKNOWN = { status: 502, outcome: "unknown" };
const BROKEN = { status: 0, outcome: null };

const FAULT_CASES: readonly FaultCase[] = [
  { fault: { kind: "dieMidAnswer", count: 1 }, notRepeatable: UNKNOWN, repeatable: SERVED },
  { fault: { kind: "exitAfter" }, notRepeatable: UNKNOWN, repeatable: SERVED },
  { fault: { kind: "truncate", count: 1 }, notRepeatable: UNKNOWN, repeatable: SERVED },
  { fault: { kind: "resetMidAnswer", count: 1 }, notRepeatable: UNKNOWN, repeatable: SERVED },
  { fault: { kind: "crossed", count: 1 }, notRepeatable: UNKNOWN, repeatable: SERVED },
  {
    fault: { kind: "hang", count: 1 },
    service: { maxRunMs: 300 },
    notRepeatable: UNKNOWN,
    repeatable: SERVED,
  },
  {
    fault: { kind: "late", count: 1, delayMs: 300 },
    service: { maxRunMs: 300 },
    notRepeatable: UNKNOWN,
    repeatable: SERVED,
  },
  {
    fault: { kind: "oversized", bytes: 5_000, count: 1 },
    service: { maxAnswerBytes: 4_000 },
    notRepeatable: UNKNOWN,
    repeatable: SERVED,
  },
  {
    fault: { kind: "truncate", count: 1 },
    answerBytes: 1_000_000,
    notRepeatable: BROKEN,
    repeatable: BROKEN,
  },
  {
    fault: { kind: "truncate", count: 1 },
    chunked: true,
    notRepeatable: UNKNOWN,
    repeatable: SERVED,
  },
  {
    fault: { kind: "oversized", bytes: 5_000, count: 1 },
    service: { maxAnswerBytes: 4_000 },
    chunked: true,
    notRepeatable: UNKNOWN,
    repeatable: SERVED,
  },
  {
    fault: { kind: "truncate", count: 1 },
    answerBytes: 1_000_000,
    chunked: true,
    notRepeatable: BROKEN,
    repeatable: BROKEN,
  },
  { fault: { kind: "refuseRequest", count: 1 }, notRepeatable: SERVED, repeatable: SERVED },
  { fault: { kind: "connectionClose", count: 1 }, notRepeatable: SERVED, repeatable: SERVED },
  {
    fault: { kind: "status", status: 500, count: 1 },
    notRepeatable: { status: 500, outcome: "answered" },
    repeatable: { status: 500, outcome: "answered" },
  },
];

describe("faults of backend servers", () => {
  const cases = FAULT_CASES.flatMap((faultCase) => [
    { ...faultCase, method: "POST", expected: faultCase.notRepeatable },
    { ...faultCase, method: "GET", expected: faultCase.repeatable },
  ]);

  it.each(cases)("reports the correct outcome of $method after $fault.kind", async (faultCase) => {
    const { method, fault, service, answerBytes = 2_000, chunked = false, expected } = faultCase;
    const framing = chunked ? "&chunked=1" : "";
    const { servers, fixture } = await start(["a", "b"], {
      service: { maxRunMs: 250, ...service },
    });
    await servers[0]!.setFaults([fault]);
    const view = await fixture.send(`renew/x?runMs=5&answerBytes=${answerBytes}${framing}`, {
      method,
    });
    expect(view).toMatchObject(expected);
    if (view.status === 200) expect(JSON.parse(view.text).requestId).toBe(view.requestId);
    if (view.status === 502) expect(JSON.parse(view.text).error.outcome).toBe(view.outcome);
    const runs = await runsOf(servers);
    if (method === "POST") expect(runs.length).toBeLessThanOrEqual(1);
    if (view.status !== 200) expect((await servers[1]!.record()).runs).toEqual([]);
  });

  it.each([
    { fault: { kind: "connectionClose" as const, count: 1 } },
    { fault: { kind: "refuseRequest" as const, count: 1 } },
  ])("sends no new requests to a backend server after $fault", async ({ fault }) => {
    const { servers, fixture } = await start(["a", "b"]);
    await servers[0]!.setFaults([fault]);
    await fixture.send("renew/first");
    for (let count = 0; count < 5; count++) await fixture.send("renew/later");
    const { runs } = await servers[0]!.record();
    expect(runs.filter(({ path }) => path === "/later")).toEqual([]);
  });

  it("retries a POST on another backend server if the first is unreachable", async () => {
    const { servers, fixture } = await start(["a", "b"]);
    await servers[0]!.program.kill();
    const view = await fixture.send("renew/x", { method: "POST" });
    expect(view).toMatchObject({ status: 200, outcome: "answered" });
    expect(await runsOf(servers)).toMatchObject([{ attempt: 2 }]);
  });

  it("limits retries to the retry budget", async () => {
    const { servers, fixture } = await start(["a", "b"], { service: { maxRunMs: 200 } });
    for (const server of servers) await server.setFaults([{ kind: "resetMidAnswer" }]);
    for (let count = 0; count < 20; count++) await fixture.send("renew/x?runMs=0");
    const retries = (await runsOf(servers)).filter(({ attempt }) => attempt > 1);
    expect(retries.length).toBeLessThanOrEqual(3);
  });

  it("holds the permit of a run with unknown outcome until the run must be over", async () => {
    const { servers, fixture } = await start(["a"], { service: { maxRunMs: 600 } });
    await servers[0]!.setFaults([{ kind: "resetMidAnswer", count: 1 }]);
    expect(await fixture.send("renew/x", { method: "POST" })).toMatchObject(UNKNOWN);
    expect(fixture.permits.inUse()).toBe(1);
    await testing.waitFor.waitFor("release of the permit", () => fixture.permits.inUse() === 0);
  });

  it("holds the permit of a run with unknown outcome when the wall clock is set forward", async () => {
    const { servers, fixture } = await start(["a"], { service: { maxRunMs: 600 } });
    await servers[0]!.setFaults([{ kind: "resetMidAnswer", count: 1 }]);
    const sent = fixture.send("renew/x?runMs=200", { method: "POST" });
    await testing.waitFor.waitFor("started run", async () => (await runsOf(servers)).length === 1);
    fixture.clock.setForward(6_000);
    expect(await sent).toMatchObject(UNKNOWN);
    expect(fixture.permits.inUse()).toBe(1);
    await testing.waitFor.waitFor("release of the permit", () => fixture.permits.inUse() === 0);
  });
});

describe("callers that disconnect", () => {
  it("drops a waiting request", async () => {
    const { servers, fixture } = await start(["a"]);
    fixture.permits.teamTotal = 0;
    const abort = new AbortController();
    const url = `http://${fixture.address}/v1/queues/renew/x`;
    const headers = { authorization: `Bearer ${fixtures.SECRET}` };
    const sent = fetch(url, { headers, signal: abort.signal }).catch(() => null);
    await testing.waitFor.waitFor("waiting request", () => fixture.path.unfinished === 1);
    abort.abort();
    await sent;
    await testing.waitFor.waitFor("end of the request", () => fixture.path.unfinished === 0);
    fixture.permits.grant({ teamTotal: 8 });
    expect(await fixture.send("renew/y")).toMatchObject({ status: 200 });
    expect((await runsOf(servers)).map(({ path }) => path)).toEqual(["/y"]);
  });

  it("lets a running request finish and releases its permit", async () => {
    const { servers, fixture } = await start(["a"]);
    const abort = new AbortController();
    const url = `http://${fixture.address}/v1/queues/renew/x?runMs=300`;
    const headers = { authorization: `Bearer ${fixtures.SECRET}` };
    const sent = fetch(url, { headers, signal: abort.signal }).catch(() => null);
    await testing.waitFor.waitFor("started run", async () => (await runsOf(servers)).length === 1);
    abort.abort();
    await sent;
    await testing.waitFor.waitFor("release of the permit", () => fixture.permits.released === 1);
    expect(await runsOf(servers)).toMatchObject([{ end: "whole" }]);
  });
});

describe("graceful stop", () => {
  it("finishes running requests and refuses all others with not-run", async () => {
    const { servers, fixture } = await start(["a"]);
    fixture.permits.slotTotal = 2;
    const running = [fixture.send("renew/1?runMs=400"), fixture.send("renew/2?runMs=400")];
    await testing.waitFor.waitFor(
      "two running requests",
      async () => (await runsOf(servers)).length === 2,
    );
    const waiting = fixture.send("renew/3");
    await testing.waitFor.waitFor("third open request", () => fixture.path.unfinished === 3);
    const drained = fixture.path.drain({ waitingGraceMs: 0 });
    const late = await fixture.send("renew/4");
    expect(late).toMatchObject({ status: 503, outcome: "not-run" });
    expect(await waiting).toMatchObject({ status: 503, outcome: "not-run" });
    expect((await Promise.all(running)).map(({ status }) => status)).toEqual([200, 200]);
    await drained;
    expect((await runsOf(servers)).map(({ path }) => path.slice(0, 2)).sort()).toEqual([
      "/1",
      "/2",
    ]);
    expect(fixture.permits.inUse()).toBe(0);
  });
});

/** The ways in which a backend server stops. Only the last is not announced to the entry. */
const STOPS: readonly {
  readonly name: string;
  readonly lingerMs: number;
  readonly drainFirst: boolean;
  readonly announced: boolean;
}[] = [
  { name: "after a drain by configuration", lingerMs: 0, drainFirst: true, announced: true },
  { name: "announced by its own answers", lingerMs: 1_000, drainFirst: false, announced: true },
  { name: "without notice", lingerMs: 0, drainFirst: false, announced: false },
];

describe("backend servers that stop under load", () => {
  it.each(STOPS)(
    "completes all requests or reports them as unknown on a stop $name",
    async ({ lingerMs, drainFirst, announced }) => {
      const { servers, fixture } = await start(["a", "b"], {}, { lingerMs });
      let stopped = false;
      const sending = Array.from({ length: 12 }, async (_, index) => {
        const views = [];
        while (!stopped) {
          views.push(await fixture.send(`renew/${index}?runMs=5`, { method: "POST" }));
        }
        return views;
      });
      await testing.waitFor.waitFor("traffic", async () => (await runsOf(servers)).length > 100);
      if (drainFirst) {
        fixture.snapshots.publish(fixtures.configFor(servers, { draining: ["a"] }));
        await testing.waitFor.waitFor("idle backend server", async () => {
          return (await servers[0]!.record()).running === 0;
        });
      }
      expect(await servers[0]!.program.stop()).toBe(0);
      stopped = true;
      const views = (await Promise.all(sending)).flat();
      const served = views.filter(({ status }) => status === 200);
      expect(served.length).toBeGreaterThan(100);
      const others = views.filter(({ status }) => status !== 200);
      if (announced) expect(others).toEqual([]);
      for (const view of others) expect(view.outcome).toBe("unknown");
      const ids = (await runsOf(servers)).map(({ requestId }) => requestId);
      expect(new Set(ids).size).toBe(ids.length);
    },
  );
});
