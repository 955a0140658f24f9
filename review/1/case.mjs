/**
 * A rolling restart hands the scheduling on while one worker is cut off for some seconds. The worker's
 * registration expires before it has reported to the new owner, and it is reachable again right after that.
 */
import { HAS_TROUBLE, configOf, jobOf, newJobId, runCase, sleep, until, workersOf } from "../stand_ins/deployment.mjs";

const TASK_MS = 12_000;
/** The platform removes a registration after three heartbeats of 1.5 s; the pages' limit for the cut is 5.5 s. */
const MAX_CUT_MS = 5_500;
/** The cut begins this long after a heartbeat of the worker. */
const CUT_AFTER_HEARTBEAT_MS = 1_000;
const REACHABLE_AFTER_EXPIRY_MS = 200;
/** `finish_s` of the site. */
const FINISH_MS = 14_000;
/** How long a job may have nothing running. */
const MAX_IDLE_MS = 3_000;

await runCase(import.meta.url, async (deployment) => {
  await deployment.start({ config: configOf(), workers: workersOf(7, { isProxied: true }) });
  const jobId = newJobId();
  const sentAtMs = await deployment.submit(jobId, jobOf({ taskCount: 1, taskMs: TASK_MS }));
  await until(() => deployment.runsAtWork(jobId).length === 1, "the job is at work");
  const { machine, worker } = deployment.runsAtWork(jobId)[0];
  const owner = deployment.owner();
  const heartbeatMs = deployment.store.workerWrittenAtMs(worker);
  await until(() => deployment.store.workerWrittenAtMs(worker) !== heartbeatMs, "the worker renews its registration");
  await sleep(CUT_AFTER_HEARTBEAT_MS);
  let healed = Promise.resolve();
  if (HAS_TROUBLE) {
    deployment.cutWorker(machine);
    healed = until(() => !deployment.store.hasWorker(worker), "the registration expires", MAX_CUT_MS)
      .then(() => sleep(REACHABLE_AFTER_EXPIRY_MS))
      .then(() => deployment.healWorker(machine));
    await sleep(300);
  }
  deployment.signalNode(owner, "SIGTERM");
  owner.child.once("exit", () => setTimeout(() => deployment.startNode(owner.name), 500));
  await healed;
  await until(() => Date.now() > sentAtMs + TASK_MS + FINISH_MS, "finish_s has passed", 60_000);
  await sleep(MAX_IDLE_MS + 1_000);
  const state = await deployment.stateOf(jobId);
  const idleMs = deployment.longestIdleMs(jobId, sentAtMs + FINISH_MS);
  deployment.log("at the end", { state, idleMs, atWork: deployment.runsAtWork().length });
  return state === "active" && idleMs > MAX_IDLE_MS
    ? `LOST: the job is shown as ${state}, and nothing of it has run for ${idleMs} ms on idle workers`
    : undefined;
});
