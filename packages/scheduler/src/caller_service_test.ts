import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { CallerService } from "./caller_service.ts";
import { ConfigFollower } from "./config_follower.ts";
import { JobStore } from "./job_store.ts";
import { PeerClient } from "./peer_rpc.ts";
import * as storeKeys from "./store_keys.ts";

const JOB_ID = "00000000000000aa";
const REVOKE_MS = 5_000;
const CLOCK = testing.schedulingFixtures.TIMER_CLOCK;
const SILENT = adapters.log.SILENT_LOG;
const STEP = testing.schedulingFixtures.step();
const SUBMISSIONS: Readonly<Record<string, schema.scheduling.JobSpec>> = {
  good: { payload: "p", steps: [STEP] },
  huge: { payload: "p", steps: [STEP, { ...STEP, taskCount: 1_000_000_000 }] },
  often: {
    payload: "p",
    steps: [STEP],
    timetable: { occurrenceCount: 1_000_000_000, startUnixMs: 0, intervalMs: 1 },
  },
};
const PRIVATE_QUEUE = testing.schedulingFixtures.queue("closed", { host: "h", pathPrefix: "/a/" });
const PUBLIC_QUEUE = testing.schedulingFixtures.queue("public", {
  host: "h",
  pathPrefix: "/a/b/",
  isPublic: true,
});

function configWith(keys: readonly string[]): schema.scheduling.SchedulingConfig {
  return {
    version: 1,
    maxBodyBytes: 1_000,
    queues: [PRIVATE_QUEUE, PUBLIC_QUEUE],
    pools: [],
    workspaces: [{
      name: "acme",
      keys: [...keys],
      weight: 1,
      limit: { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 },
    }],
  };
}

const DOCUMENTS = testing.schedulingFixtures.documents({
  decodeConfig: (text) => ok(JSON.parse(text) as schema.scheduling.SchedulingConfig),
  decodeSubmission: (text) => {
    const spec = SUBMISSIONS[text];
    return spec === undefined
      ? err(new schema.errors.InvalidInputError("The job is not valid"))
      : ok(spec);
  },
});

let store: testing.modelStore.ModelStore;
let callers: CallerService;
let configs: ConfigFollower;

beforeEach(async () => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
  store = new testing.modelStore.ModelStore(new testing.seededRandom.SeededRandom(1));
  store.write(DOCUMENTS.configKey, JSON.stringify(configWith(["key"])));
  const client = store.clientFor("entry", () => true);
  configs = new ConfigFollower({
    store: client,
    documents: DOCUMENTS,
    clock: CLOCK,
    log: SILENT,
    onChange: () => {},
  });
  callers = new CallerService({
    configs,
    jobs: new JobStore({
      store: client,
      clock: CLOCK,
      isRefusal: (error) => error instanceof testing.modelStore.ModelRefusalError,
    }),
    documents: DOCUMENTS,
    peers: new PeerClient({ log: SILENT, onNotice: () => {} }),
    clock: CLOCK,
    log: SILENT,
    revokeMs: REVOKE_MS,
    currentTerm: () => undefined,
    ownerAddress: () => undefined,
  });
  void configs.run();
  await vi.advanceTimersByTimeAsync(1_000);
});

afterEach(() => {
  configs.stop();
  vi.useRealTimers();
});

/** Sends a request, advances the time to its deadline, and returns the status. */
async function status(
  method: string,
  path: string,
  { key = "key" as string | undefined, body = "good", deadlineMs = 3_000 } = {},
): Promise<number> {
  const answer = callers.handle({ requestId: "r", method, host: "h", path, key, body, deadlineMs });
  await vi.advanceTimersByTimeAsync(deadlineMs);
  return (await answer).status;
}

test.each([
  { name: "accepts a job", method: "POST", path: `/a/${JOB_ID}`, expected: 200 },
  {
    name: "rejects an invalid body",
    method: "POST",
    path: `/a/${JOB_ID}`,
    body: "bad",
    expected: 400,
  },
  {
    name: "rejects a job with more tasks than an owner can hold",
    method: "POST",
    path: `/a/${JOB_ID}`,
    body: "huge",
    expected: 400,
  },
  {
    name: "rejects a timetable with more tasks than an owner can hold",
    method: "POST",
    path: `/a/${JOB_ID}`,
    body: "often",
    expected: 400,
  },
  {
    name: "rejects a body over the configured size",
    method: "POST",
    path: `/a/${JOB_ID}`,
    body: "é".repeat(501),
    expected: 413,
  },
  { name: "rejects an invalid job id", method: "POST", path: "/a/xyz", expected: 400 },
  { name: "rejects a path without a queue", method: "POST", path: `/c/${JOB_ID}`, expected: 404 },
  {
    name: "rejects an unknown key",
    method: "POST",
    path: `/a/${JOB_ID}`,
    key: "other",
    expected: 401,
  },
  {
    name: "uses the queue with the longest prefix, which is public",
    method: "POST",
    path: `/a/b/${JOB_ID}`,
    key: "other",
    expected: 200,
  },
  { name: "has no state for an unknown job", method: "GET", path: `/a/${JOB_ID}`, expected: 410 },
  { name: "cannot cancel an unknown job", method: "DELETE", path: `/a/${JOB_ID}`, expected: 410 },
  { name: "rejects an unsupported method", method: "PUT", path: `/a/${JOB_ID}`, expected: 405 },
])("$name: $expected", async ({ method, path, expected, ...given }) => {
  expect(await status(method, path, given)).toBe(expected);
});

test("stores a job once when it is submitted twice", async () => {
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(200);
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(200);
  expect(store.keys(storeKeys.jobKey(""))).toHaveLength(1);
});

test("reads the state from the store while the owner is unreachable", async () => {
  await status("POST", `/a/${JOB_ID}`);
  expect(await status("GET", `/a/${JOB_ID}`)).toBe(200);
  expect(await status("DELETE", `/a/${JOB_ID}`)).toBe(200);
  expect(store.read(storeKeys.cancelKey(JOB_ID))).toBeDefined();
});

test("refuses jobs at once while the store is unavailable, and never stores them later", async () => {
  store.faults.rejectedNodes.add("all");
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(503);
  store.faults.rejectedNodes.clear();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(store.keys(storeKeys.jobKey(""))).toEqual([]);
});

test("repeats a write whose response was lost, and confirms the job to the caller", async () => {
  store.faults.answerLossProbability = 1;
  const answer = status("POST", `/a/${JOB_ID}`);
  await vi.advanceTimersByTimeAsync(900);
  store.faults.answerLossProbability = 0;
  expect(await answer).toBe(200);
});

test("rejects a withdrawn key once the new configuration has been read", async () => {
  store.write(DOCUMENTS.configKey, JSON.stringify(configWith([])));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(401);
});

test("an entry cut off from the store accepts no key once its configuration is too old", async () => {
  store.faults.rejectedNodes.add("entry");
  await vi.advanceTimersByTimeAsync(0.6 * REVOKE_MS + 800);
  expect(await status("GET", `/a/${JOB_ID}`)).toBe(503);
  expect(callers.isReady).toBe(false);
});

// Guards against a job that runs although its submitter was told that there is none to cancel.
test("a job that is stored after its cancellation was answered with 410 is stored as cancelled", async () => {
  store.faults.answerLossProbability = 1;
  store.faults.delaysLostWrites = true;
  const submission = status("POST", `/a/${JOB_ID}`);
  await vi.advanceTimersByTimeAsync(1_000);
  store.faults.answerLossProbability = 0;
  const cancellation = status("DELETE", `/a/${JOB_ID}`);
  await vi.advanceTimersByTimeAsync(10_000);
  expect([await submission, await cancellation]).toEqual([504, 410]);
  const keys = [storeKeys.jobKey(JOB_ID), storeKeys.cancelKey(JOB_ID)];
  expect(keys.map((key) => store.read(key) !== undefined)).toEqual([true, true]);
});

test("stores no cancellation under an id that no job can have", async () => {
  expect(await status("DELETE", "/a/xyz")).toBe(410);
  expect(store.read(storeKeys.cancelKey("xyz"))).toBeUndefined();
});
