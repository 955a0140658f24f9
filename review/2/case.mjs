/**
 * Three timed jobs are submitted, each of which runs every minute for a week and is accepted by itself. The
 * platform starts a process again when it ends. Without the disruption one of the three comes.
 */
import { HAS_TROUBLE, configOf, jobOf, newJobId, runCase, sleep, workersOf } from "../stand_ins/deployment.mjs";

const TIMED_JOB_COUNT = HAS_TROUBLE ? 3 : 1;
const INTERVAL_MS = 60_000;
const OCCURRENCE_COUNT = 7 * 24 * 60;
const TASKS_PER_OCCURRENCE = 9;
const TRAFFIC_MS = 25_000;
const SMALL_JOB_INTERVAL_MS = 2_000;
/** `finish_s` of the site. */
const FINISH_MS = 14_000;
/** How long a job may have nothing running. */
const MAX_IDLE_MS = 3_000;

await runCase(import.meta.url, async (deployment) => {
  await deployment.start({ config: configOf(), workers: workersOf(8) });
  deployment.restartNodes();
  const ends = new Map();
  deployment.onNodeEnd = (name) => ends.set(name, (ends.get(name) ?? 0) + 1);
  const smallIds = [];
  const submitSmall = async () => {
    const jobId = newJobId();
    const { status } = await deployment.call("POST", jobId, { body: jobOf({ taskCount: 2, taskMs: 800 }) });
    if (status === 200) {
      smallIds.push(jobId);
    }
  };
  await submitSmall();
  await sleep(2_000);
  const timed = {
    ...jobOf({ taskCount: TASKS_PER_OCCURRENCE, taskMs: 800 }),
    times: OCCURRENCE_COUNT,
    "start-at-ms": Date.now() + INTERVAL_MS,
    "interval-ms": INTERVAL_MS,
  };
  for (let count = 0; count < TIMED_JOB_COUNT; count++) {
    await deployment.call("POST", newJobId(), { body: timed });
  }
  for (const untilMs = Date.now() + TRAFFIC_MS; Date.now() < untilMs;) {
    await submitSmall();
    await sleep(SMALL_JOB_INTERVAL_MS);
  }
  const endedAtMs = Date.now();
  await sleep(FINISH_MS + MAX_IDLE_MS + 1_000);
  const startedIds = new Set(deployment.runs().map(({ task }) => task.split(".")[0]));
  const idle = smallIds.filter((jobId) =>
    !startedIds.has(jobId) && deployment.longestIdleMs(jobId, endedAtMs + FINISH_MS) > MAX_IDLE_MS
  );
  deployment.log("at the end", {
    processesEndedByThemselves: [...ends].map(([name, count]) => `${name}: ${count}`).join(", ") || "none",
    smallJobsAccepted: smallIds.length,
    smallJobsThatNeverStarted: idle.length,
  });
  const endCount = [...ends.values()].reduce((sum, count) => sum + count, 0);
  return idle.length > 0
    ? `LOST: ${idle.length} of ${smallIds.length} accepted small jobs never started on idle workers; processes ended by themselves ${endCount} times`
    : undefined;
});
