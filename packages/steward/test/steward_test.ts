import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import {
  callAsTeam,
  MAX_UNAVAILABLE,
  type RunningSteward,
  StewardFixture,
} from "./steward_fixture.ts";

const { waitFor } = testing.waitFor;
const VM_COUNT = 8;
const LIMIT = { limitMs: 60_000 };

let fixture: StewardFixture;

beforeEach(() => {
  fixture = new StewardFixture();
});

afterEach(() => fixture.stop());

function startStewards(count: number): Promise<RunningSteward[]> {
  const names = Array.from({ length: count }, (_, index) => `steward-${index}`);
  return Promise.all(names.map((name) => fixture.startSteward(name)));
}

function post(url: string, body: unknown = {}): Promise<{ status: number; body: object }> {
  return callAsTeam(url, { method: "POST", body });
}

/** No drain exceeded the budget, no request was cut off, and no task was started twice. */
async function expectGuarantees(): Promise<void> {
  const { events, starts } = await fixture.witness();
  const drains = events.filter(({ kind }) => kind === "drain");
  expect(drains.filter(({ notLive }) => notLive.length > MAX_UNAVAILABLE)).toEqual([]);
  expect(events.filter(({ kind }) => kind === "cut")).toEqual([]);
  expect(Object.entries(starts).filter(([, count]) => count > 1)).toEqual([]);
}

async function expectEachVmRebootedOnce(): Promise<void> {
  const { events } = await fixture.witness();
  const rebooted = events.filter(({ kind }) => kind === "reboot").map(({ subject }) => subject);
  expect(new Set(rebooted).size).toBe(VM_COUNT);
  expect(rebooted).toHaveLength(VM_COUNT);
}

async function isFinished(wave: string): Promise<boolean> {
  return (await fixture.wave(wave))?.state === "finished";
}

async function vmResultCount(): Promise<number> {
  const vms = await fixture.records(schema.storeKeys.VM_PREFIX, schema.fleet.vmRecordSchema);
  return vms.filter((vm) => vm.waveResults["december"] !== undefined).length;
}

describe("one steward", () => {
  it("reboots and returns a VM, runs a job, and shuts down gracefully", async () => {
    await fixture.start();
    await fixture.publish({});
    const [steward] = await startStewards(1);
    const { operatorUrl = "", callerUrl = "", program } = steward ?? {};
    const asked = await waitFor("a started operation", async () => {
      const answer = await post(`${operatorUrl}/v1/vms/vm-3/reboot`);
      return answer.status === 202 ? answer : undefined;
    });
    expect(asked.body).toEqual({ operationId: "vm-3.000000001" });
    const spec = { jobId: "pack-1", cores: 1, memoryMb: 100, runMs: 50 };
    const submitted = await callAsTeam(`${callerUrl}/v1/jobs`, { method: "POST", body: spec });
    expect(submitted).toMatchObject({ status: 202, body: { state: "waiting" } });
    const job = await waitFor("the end of the job", async () => {
      const { body } = await callAsTeam(`${callerUrl}/v1/jobs/pack-1`, { method: "GET" });
      return body["state"] === "succeeded" ? body : undefined;
    });
    expect(job).toMatchObject({ team: "facilitators", attempt: 1 });
    await waitFor("the returned token", async () => {
      const { events } = await fixture.witness();
      const pools = await fixture.records(
        schema.storeKeys.POOL_PREFIX,
        schema.fleet.poolRecordSchema,
      );
      return events.some(({ kind }) => kind === "return") && pools[0]?.tokens.length === 0;
    });
    await expectGuarantees();
    expect(await program?.stop()).toBe(0);
  });

  it.each([
    { name: "no key", key: "", body: {}, status: 401 },
    { name: "a wrong key", key: "other", body: {}, status: 401 },
    { name: "a bad body", key: undefined, body: { cores: -1 }, status: 400 },
    {
      name: "a job id with another specification",
      key: undefined,
      body: { jobId: "pack-1", cores: 2, memoryMb: 100, runMs: 50 },
      status: 409,
    },
  ])("refuses $name with $status", async ({ key, body, status }) => {
    await fixture.start();
    await fixture.publish({});
    const [steward] = await startStewards(1);
    const url = `${steward?.callerUrl}/v1/jobs`;
    const first = { jobId: "pack-1", cores: 1, memoryMb: 100, runMs: 50 };
    await callAsTeam(url, { method: "POST", body: first });
    const refused = await callAsTeam(url, { method: "POST", body, key });
    expect(refused).toMatchObject({ status, body: { error: { outcome: "not-run" } } });
  });

  it("refuses a job that fits no worker, and quarantines a worker on which every task fails", async () => {
    const place = { availabilityZone: "zone-0", rack: "rack-0", memoryMb: 8_192 };
    await fixture.start({
      workers: [
        { ...place, worker: "worker-bad", cores: 4, failsEverything: true },
        { ...place, worker: "worker-good", cores: 8 },
      ],
    });
    await fixture.publish({});
    const [steward] = await startStewards(1);
    const url = `${steward?.callerUrl}/v1/jobs`;
    const small = { cores: 1, memoryMb: 100, runMs: 50, repeatable: true, maxAttempts: 20 };
    const body = { jobId: "too-large", ...small, cores: 99 };
    await callAsTeam(url, { method: "POST", body });
    const names = Array.from({ length: 6 }, (_, index) => `pack-${index}`);
    for (const jobId of names) {
      await callAsTeam(url, { method: "POST", body: { jobId, ...small } });
    }
    for (const jobId of names) {
      await waitFor(`the success of ${jobId}`, async () => {
        const job = await callAsTeam(`${url}/${jobId}`, { method: "GET" });
        return job.body["state"] === "succeeded";
      });
    }
    const refused = await callAsTeam(`${url}/too-large`, { method: "GET" });
    expect(refused.body).toMatchObject({
      state: "refused",
      reason: "No worker has 99 cores, 100 MB and 0 accelerators together",
    });
    const explained = await (await fetch(`${steward?.operatorUrl}/v1/explain/worker-bad`)).json();
    expect(explained).toMatchObject({ worker: { quarantines: 1 } });
    expect(explained).toHaveProperty("lines.0.message");
  });
});

describe("a wave with three stewards", () => {
  it("finishes despite killed and frozen stewards, lost answers and an outdated VM list", async () => {
    await fixture.start({ listLagMs: 400 });
    const faults = { rules: [{ kinds: ["write"], loseAnswerProbability: 0.2 }], seed: 7 };
    const stewards = await startStewards(3);
    await fixture.publish({ "december": { pools: ["boards"], state: "running" } });
    await fixture.control("POST", "/control/faults", faults);
    await fixture.control("POST", "/fleet/faults", { loseEveryNthAnswer: 4 });
    await waitFor("the first VM", async () => await vmResultCount() >= 1, LIMIT);
    stewards[0]?.program.signal("SIGSTOP");
    await waitFor("the third VM", async () => await vmResultCount() >= 3, LIMIT);
    await stewards[1]?.program.kill();
    stewards[0]?.program.signal("SIGCONT");
    stewards[2]?.program.signal("SIGSTOP");
    await waitFor("the fifth VM", async () => await vmResultCount() >= 5, LIMIT);
    stewards[2]?.program.signal("SIGCONT");
    await waitFor("the end of the wave", () => isFinished("december"), LIMIT);
    await expectGuarantees();
    await expectEachVmRebootedOnce();
  });

  it("pauses when a rack is lost, and continues after an operator resumes it", async () => {
    await fixture.start();
    await startStewards(2);
    const wave = { pools: ["boards"], drainTimeoutMs: 60_000 };
    await fixture.publish({ "december": { ...wave, state: "running" } });
    await waitFor("the first VM", async () => await vmResultCount() >= 1, LIMIT);
    const place = { availabilityZone: "zone-1", rack: "rack-3" };
    await fixture.control("POST", "/fleet/lose-rack", place);
    const paused = await waitFor("the pause", async () => {
      const record = await fixture.wave("december");
      return record?.state === "paused" ? record : undefined;
    }, LIMIT);
    expect(paused.pausedBy).toBe("failures");
    expect(paused.reason).toMatch(/vm-[37]/);
    const lostAtMs = (await fixture.witness()).events.findLast(({ kind }) => kind === "lost")?.atMs;
    await fixture.control("POST", "/fleet/restore", { vms: ["vm-3", "vm-7"] });
    await fixture.publish({ "december": { ...wave, state: "paused" } });
    await waitFor(
      "the operator's pause",
      async () => (await fixture.wave("december"))?.pausedBy === "operator",
      LIMIT,
    );
    await fixture.publish({ "december": { ...wave, state: "running" } });
    await waitFor("the end of the wave", () => isFinished("december"), LIMIT);
    const { events } = await fixture.witness();
    const inLoss = events.filter(({ kind, atMs, notLive }) =>
      kind === "drain" && atMs > (lostAtMs ?? 0) + 500 && notLive.length > MAX_UNAVAILABLE
    );
    expect(inLoss).toEqual([]);
  });

  it("starts nothing while the store is unavailable, and finishes afterwards", async () => {
    await fixture.start();
    const stewards = await startStewards(2);
    await fixture.publish({ "december": { pools: ["boards"], state: "running" } });
    await waitFor("the first VM", async () => await vmResultCount() >= 1, LIMIT);
    await fixture.control("POST", "/control/faults", { rules: [{ outage: "error" }] });
    for (const { operatorUrl } of stewards) {
      await waitFor(
        "a steward without the store",
        async () => (await fetch(`${operatorUrl}/readyz`)).status === 503,
      );
    }
    const before = (await fixture.witness()).events.filter(({ kind }) => kind === "drain");
    const refused = await post(`${stewards[0]?.operatorUrl}/v1/vms/vm-1/drain`);
    expect(refused.status).toBe(503);
    const after = (await fixture.witness()).events.filter(({ kind }) => kind === "drain");
    expect(after).toEqual(before);
    await fixture.control("POST", "/control/faults", {});
    await waitFor("the end of the wave", () => isFinished("december"), LIMIT);
    await expectGuarantees();
    await expectEachVmRebootedOnce();
  });
});

describe("jobs with three stewards", () => {
  it("run exactly once despite killed and frozen stewards and lost answers", async () => {
    await fixture.start();
    await fixture.publish({});
    const stewards = await startStewards(3);
    const faults = { rules: [{ kinds: ["write"], loseAnswerProbability: 0.2 }], seed: 11 };
    await fixture.control("POST", "/control/faults", faults);
    await fixture.control("POST", "/fleet/faults", { loseEveryNthAnswer: 3 });
    const jobIds = Array.from({ length: 24 }, (_, index) => `renewal-${index}`);
    const submit = (jobId: string, steward: RunningSteward | undefined) => {
      const body = { jobId, cores: 1, memoryMb: 100, runMs: 100 };
      return waitFor(
        "the acceptance",
        async () =>
          (await callAsTeam(`${steward?.callerUrl}/v1/jobs`, { method: "POST", body })).status ===
            202,
      );
    };
    await Promise.all(jobIds.map((jobId, index) => submit(jobId, stewards[index % 3])));
    const jobs = async () => {
      const { JOB_PREFIX } = schema.storeKeys;
      const segments = await fixture.records(JOB_PREFIX, schema.fleet.jobSegmentSchema);
      return segments.flatMap((segment) => Object.values(segment.jobs));
    };
    const succeeded = async () =>
      (await jobs()).filter(({ state }) => state === "succeeded").length;
    await waitFor("the first job", async () => await succeeded() >= 1, LIMIT);
    stewards[0]?.program.signal("SIGSTOP");
    await waitFor("the eighth job", async () => await succeeded() >= 8, LIMIT);
    await stewards[1]?.program.kill();
    stewards[0]?.program.signal("SIGCONT");
    await waitFor("all jobs", async () => await succeeded() === jobIds.length, LIMIT);
    const { starts } = await fixture.witness();
    const once = Object.fromEntries(jobIds.map((jobId) => [`${jobId}.1`, 1]));
    expect(starts).toEqual(once);
  });

  it("move off a draining worker after a checkpoint, and are cancelled on request", async () => {
    const place = { availabilityZone: "zone-0", rack: "rack-0", cores: 4, memoryMb: 8_192 };
    await fixture.start({
      workers: [{ ...place, worker: "vm-0" }, { ...place, worker: "vm-1" }],
    });
    await fixture.publish({});
    const [steward] = await startStewards(1);
    const url = `${steward?.callerUrl}/v1/jobs`;
    const body = { jobId: "long", cores: 1, memoryMb: 100, runMs: 600_000, repeatable: true };
    await callAsTeam(url, { method: "POST", body });
    const placed = await waitFor(
      "the start",
      async () => Object.keys((await fixture.witness()).starts).length === 1,
    );
    expect(placed).toBe(true);
    const explain = async () =>
      await (await fetch(`${steward?.operatorUrl}/v1/explain/long`)).json() as {
        job: schema.fleet.JobRecord;
      };
    const first = (await explain()).job.worker;
    await post(`${steward?.operatorUrl}/v1/vms/${first}/reboot`);
    const second = await waitFor("the other worker", async () => {
      const { job } = await explain();
      return job.attempt === 2 && job.state === "placed" ? job.worker : undefined;
    });
    expect(second).not.toBe(first);
    await waitFor(
      "the reboot",
      async () => (await fixture.witness()).events.some(({ kind }) => kind === "return"),
    );
    await expectGuarantees();
    await callAsTeam(`${url}/long`, { method: "DELETE" });
    await waitFor("the cancellation", async () => (await explain()).job.state === "cancelled");
  });
});

describe("concurrent requests of operators", () => {
  it("for a move and a drain of one VM leave it in one pool, and one of them is refused", async () => {
    await fixture.start();
    await fixture.publish({});
    const stewards = await startStewards(2);
    await waitFor("the VMs", async () => {
      const answers = await Promise.all(
        stewards.map(async ({ operatorUrl }) =>
          await (await fetch(`${operatorUrl}/v1/explain/vm-5`)).json() as { vm?: object }
        ),
      );
      return answers.every(({ vm }) => vm !== undefined);
    });
    const answers = await Promise.all([
      post(`${stewards[0]?.operatorUrl}/v1/vms/vm-5/move`, { toPool: "backoffice" }),
      post(`${stewards[1]?.operatorUrl}/v1/vms/vm-5/drain`),
    ]);
    expect(answers.map(({ status }) => status).sort()).toEqual([202, 409]);
    if (answers[1]?.status === 202) {
      await waitFor(
        "the release",
        async () => (await post(`${stewards[1]?.operatorUrl}/v1/vms/vm-5/release`)).status === 202,
      );
    }
    const vm = await waitFor("the end of the operation", async () => {
      const vms = await fixture.records(schema.storeKeys.VM_PREFIX, schema.fleet.vmRecordSchema);
      const found = vms.find((each) => each.vm === "vm-5");
      return found?.operation === undefined ? found : undefined;
    });
    expect(vm.pool).toBe(answers[0]?.status === 202 ? "backoffice" : "boards");
    await expectGuarantees();
  });
});
