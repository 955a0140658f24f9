/**
 * A worker whose path to the store is cut crashes and starts again at once under the same id. The next
 * work item is ordered there, and the new life begins it. It must not be started anywhere else while it
 * runs there.
 */
import { delay, isTrouble, runCase } from "../stand_ins_2/harness.mjs";

const HOST = "certs.example";
const KEY = "key-of-school-a";
const WORK_MS = 4_000;
/** How long the worker cannot reach the store. */
const CUT_MS = 5_000;
const MACHINES = 8;
const ROUNDS = 5;

const config = {
  version: 3,
  routes: [{
    name: "cert-batch",
    host: HOST,
    prefix: "/certs/",
    service: "certs",
    attempts: 4,
    extension: 1.6,
    "target-latency-ms": 600,
  }],
  services: [{ name: "certs" }],
  limits: {},
  tenants: [{ name: "school-a", "api-keys": [KEY], weight: 5 }],
};

const jobId = (round) => `7a31c0de5b2f00${String(round).padStart(2, "0")}`;

/** The work items that had two runs at once on workers that were up. */
function doubledItems(events) {
  const live = new Map();
  const faults = [];
  for (const { kind, task, run, worker, born, machine } of events) {
    const key = `${worker}/${born}/${run}`;
    if (kind === "start") {
      const runs = live.get(task) ?? new Map();
      live.set(task, runs);
      const [other] = runs.values();
      if (other !== undefined) {
        faults.push(
          `TWICE: ${task} runs as run ${other.run} on ${other.machine} and starts as run ${run} on ${machine}`,
        );
      }
      runs.set(key, { run, machine });
    } else if (kind === "end") {
      live.get(task)?.delete(key);
    } else if (kind === "died") {
      live.forEach((runs) =>
        runs.forEach((one, id) => one.machine === machine && runs.delete(id))
      );
    }
  }
  return faults;
}

await runCase(import.meta.url, async (deployment) => {
  await deployment.start({ config });
  for (let index = 0; index < MACHINES; index++) {
    await deployment.addMachine({ service: "certs", rack: `r1-${Math.floor(index / 4)}` });
  }
  if (!await deployment.ready()) return undefined;
  await delay(3_000);
  const options = { host: HOST, key: KEY };
  const body = {
    spec: JSON.stringify({ ms: [WORK_MS] }),
    phases: [{ count: 1, cpu: 1_900, "mem-mb": 2_000, "estimate-ms": WORK_MS }],
  };
  const finish = async (round) =>
    await deployment.until(async () => {
      const node = deployment.nodes[round % deployment.nodes.length];
      const given = await deployment.call(node, "GET", `/certs/${jobId(round)}`, options);
      await delay(500);
      return given.body?.state === "complete";
    }, 15_000);
  // Each job shows which worker the next one will go to, as all are idle again after it.
  if (!await deployment.submit(`/certs/${jobId(0)}`, { ...options, body })) return undefined;
  const first = await deployment.until(() => deployment.runs(jobId(0))[0], 5_000);
  if (first === undefined || !await finish(0)) return undefined;
  for (let round = 1; round <= ROUNDS && doubledItems(deployment.events).length === 0; round++) {
    if (isTrouble) {
      const last = deployment.events.findLast(({ kind }) => kind === "start");
      const machine = deployment.machines.get(last.machine);
      deployment.note(`${machine.name}: its path to the store is cut for ${CUT_MS} ms`);
      await deployment.crashWorker(machine);
      deployment.startWorker(machine, { id: machine.id, registerAfterMs: CUT_MS });
      await deployment.until(() => machine.state === "up", 3_000);
      await delay(500);
    }
    if (!await deployment.submit(`/certs/${jobId(round)}`, { ...options, body })) return undefined;
    if (!await finish(round)) return undefined;
    await delay(isTrouble ? CUT_MS : 500);
  }
  deployment.noteLogs(/Worker crashed|Run lost|Task placed|Worker added/);
  return doubledItems(deployment.events);
});
