/**
 * A queue's policy allows some of the workers of its pool. Nothing else is wrong, and all workers are idle.
 * Without the disruption the policy allows all of them.
 */
import { HAS_TROUBLE, configOf, jobOf, newJobId, runCase, sleep, until, workersOf } from "../stand_ins/deployment.mjs";

const WORKER_COUNT = 8;
const ALLOWED_RACK = "r2";
const TASK_MS = 2_000;
/** `finish_s` of the site. */
const FINISH_MS = 14_000;
/** How long a job may have nothing running. */
const MAX_IDLE_MS = 3_000;
const ADVICE = { "decide-ms": 5, "each-ms": 1, "valid-ms": 3_000 };

await runCase(import.meta.url, async (deployment) => {
  const config = configOf();
  config.routes[0].advice = ADVICE;
  const workers = workersOf(WORKER_COUNT);
  const allowed = workers.filter(({ rack }) => !HAS_TROUBLE || rack === ALLOWED_RACK).map(({ machine }) => machine);
  deployment.advice.isAllowed = (_step, worker) => allowed.some((machine) => worker.startsWith(`i-${machine}-`));
  deployment.advice.onCall = (step, asked, granted) =>
    deployment.log("advice", { step, asked: asked.join(","), granted: granted.join(",") || "none" });
  await deployment.start({ config, workers });
  await until(() => deployment.vms.machines.size === WORKER_COUNT, "all workers are up");
  await sleep(1_000);
  const jobIds = Array.from({ length: 5 }, newJobId);
  for (const jobId of jobIds) {
    await deployment.submit(jobId, jobOf({ taskCount: 2, taskMs: TASK_MS }));
    await sleep(500);
  }
  const endedAtMs = Date.now();
  await sleep(FINISH_MS + MAX_IDLE_MS + 5_000);
  const idle = [];
  for (const jobId of jobIds) {
    const state = await deployment.stateOf(jobId);
    const idleMs = deployment.longestIdleMs(jobId, endedAtMs + FINISH_MS);
    deployment.log("at the end", { jobId, state, idleMs });
    if (state !== "complete" && idleMs > MAX_IDLE_MS) {
      idle.push(jobId);
    }
  }
  return idle.length > 0
    ? `LOST: nothing of ${idle.length} of ${jobIds.length} jobs runs, with ${allowed.length} allowed workers idle`
    : undefined;
});
