/**
 * A worker is cut off from the nodes and runs on, and the owner is restarted as planned work does. A
 * workspace has a submission at work on that worker. What it submits after the hand-over must not bring it
 * over its limit.
 */
import { delay, isTrouble, runCase } from "../stand_ins_2/harness.mjs";

const HOST = "packs.example";
const KEY = "key-of-school-a";
const FIRST = "b1e0447c9d2a3f01";
const SECOND = "b1e0447c9d2a3f02";
const TASKS = 8;
const TASK_CPU = 1_000;
const MAX_CPU = 10_000;
const QUOTA_OVERAGE = 0.1;
const CUT_MS = 5_500;
/** After the SIGTERM; the next owner has taken over by then, and the cut worker still holds its lease. */
const SECOND_AFTER_MS = 1_200;
const WORK_MS = 5_000;

const config = {
  version: 3,
  routes: [{
    name: "pack-build",
    host: HOST,
    prefix: "/packs/",
    service: "facilitate",
    attempts: 4,
    extension: 1.6,
    "target-latency-ms": 600,
  }],
  services: [{ name: "facilitate" }],
  limits: {},
  tenants: [{
    name: "school-a",
    "api-keys": [KEY],
    weight: 5,
    "max-count": { cpu: MAX_CPU, "mem-mb": 0, gpu: 0 },
  }],
};

await runCase(import.meta.url, async (deployment) => {
  await deployment.start({ config });
  for (let index = 0; index < 6; index++) {
    await deployment.addMachine({ service: "facilitate", rack: `r1-${Math.floor(index / 4)}` });
  }
  if (!await deployment.ready()) return undefined;
  await delay(3_000);
  const options = { host: HOST, key: KEY };
  const body = {
    spec: JSON.stringify({ ms: [WORK_MS] }),
    phases: [{ count: TASKS, cpu: TASK_CPU, "mem-mb": 1_300, "estimate-ms": WORK_MS }],
  };
  if (!await deployment.submit(`/packs/${FIRST}`, { ...options, body })) return undefined;
  if (!await deployment.until(() => deployment.runs(FIRST).length === TASKS, 5_000)) return undefined;
  await delay(1_000);
  const counts = new Map();
  deployment.runs(FIRST).forEach(({ machine }) => counts.set(machine, (counts.get(machine) ?? 0) + 1));
  const [name] = [...counts].sort((a, b) => b[1] - a[1])[0];
  const machine = deployment.machines.get(name);
  if (isTrouble) {
    deployment.note(`${name} is cut off from the nodes for ${CUT_MS} ms`);
    machine.link.cut();
    setTimeout(() => {
      deployment.note(`${name} can be reached again`);
      machine.link.heal();
    }, CUT_MS);
    void deployment.restartNode(deployment.owner());
  }
  await delay(SECOND_AFTER_MS);
  if (!await deployment.submit(`/packs/${SECOND}`, { ...options, body })) return undefined;
  await delay(12_000);
  deployment.noteLogs(/Ownership taken|Takeover settled|Run taken over/);
  const most = MAX_CPU * (1 + QUOTA_OVERAGE) + TASK_CPU;
  const live = new Set();
  const faults = [];
  for (const { kind, worker, born, task, run, atMs } of deployment.events) {
    const key = `${worker}/${born}/${task}#${run}`;
    if (kind === "end") live.delete(key);
    if (kind !== "start") continue;
    live.add(key);
    const usedCpu = live.size * TASK_CPU;
    if (usedCpu > most) {
      faults.push(`QUOTA: the start of ${task} run ${run} brings school-a to ${usedCpu} of ${MAX_CPU}`);
    }
  }
  return faults;
});
