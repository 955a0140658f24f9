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
const CLOSED_QUEUE = testing.schedulingFixtures.queue("closed", { host: "h", pathPrefix: "/a/" });
const PUBLIC_QUEUE = testing.schedulingFixtures.queue("public", {
  host: "h",
  pathPrefix: "/a/b/",
  isPublic: true,
});

function configWith(keys: readonly string[]): schema.scheduling.SchedulingConfig {
  return {
    version: 1,
    maxBodyBytes: 1_000,
    queues: [CLOSED_QUEUE, PUBLIC_QUEUE],
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
  decodeSubmission: (text) =>
    text === "good"
      ? ok({ payload: "p", steps: [STEP] })
      : err(new schema.errors.InvalidInputError("The job is not valid")),
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
    peers: new PeerClient(SILENT),
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

/** The status of a request, after the time that it takes. */
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
  { name: "a job is accepted", method: "POST", path: `/a/${JOB_ID}`, expected: 200 },
  { name: "a bad body", method: "POST", path: `/a/${JOB_ID}`, body: "bad", expected: 400 },
  {
    name: "a body over the configured size",
    method: "POST",
    path: `/a/${JOB_ID}`,
    body: "é".repeat(501),
    expected: 413,
  },
  { name: "a bad id", method: "POST", path: "/a/xyz", expected: 400 },
  { name: "no such queue", method: "POST", path: `/c/${JOB_ID}`, expected: 404 },
  { name: "an unknown key", method: "POST", path: `/a/${JOB_ID}`, key: "other", expected: 401 },
  {
    name: "the longest prefix decides, and is public",
    method: "POST",
    path: `/a/b/${JOB_ID}`,
    key: "other",
    expected: 200,
  },
  { name: "the state of no job", method: "GET", path: `/a/${JOB_ID}`, expected: 410 },
  { name: "cancelling no job", method: "DELETE", path: `/a/${JOB_ID}`, expected: 410 },
  { name: "a method that is not offered", method: "PUT", path: `/a/${JOB_ID}`, expected: 405 },
])("$name: $expected", async ({ method, path, expected, ...given }) => {
  expect(await status(method, path, given)).toBe(expected);
});

test("a job sent twice is one job", async () => {
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(200);
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(200);
  expect(store.keys(storeKeys.jobKey(""))).toHaveLength(1);
});

test("the state comes from the store while no owner can be asked", async () => {
  await status("POST", `/a/${JOB_ID}`);
  expect(await status("GET", `/a/${JOB_ID}`)).toBe(200);
  expect(await status("DELETE", `/a/${JOB_ID}`)).toBe(200);
  expect(store.read(storeKeys.cancelKey(JOB_ID))).toBeDefined();
});

test("while the store is out, jobs are refused at once and truly never run", async () => {
  store.faults.cut.add("all");
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(503);
  store.faults.cut.clear();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(store.keys(storeKeys.jobKey(""))).toEqual([]);
});

test("a write whose answer was lost is repeated, and the caller learns that the job is stored", async () => {
  store.faults.lostShare = 1;
  const answer = status("POST", `/a/${JOB_ID}`);
  await vi.advanceTimersByTimeAsync(900);
  store.faults.lostShare = 0;
  expect(await answer).toBe(200);
});

test("a withdrawn key is refused as soon as the configuration is read", async () => {
  store.write(DOCUMENTS.configKey, JSON.stringify(configWith([])));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await status("POST", `/a/${JOB_ID}`)).toBe(401);
});

test("an entry that the store turns away lets no key in on old knowledge", async () => {
  store.faults.cut.add("entry");
  await vi.advanceTimersByTimeAsync(0.6 * REVOKE_MS + 800);
  expect(await status("GET", `/a/${JOB_ID}`)).toBe(503);
  expect(callers.isReady).toBe(false);
});
