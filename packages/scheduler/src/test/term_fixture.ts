/**
 * The dependencies that the parts of an owner's term share, for tests: simulated time and no log output.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as testing from "@jackdawlink/testing";
import { NodeMetrics } from "../metrics.ts";
import { TermStatistics } from "../term_statistics.ts";

export interface TermFixture {
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly statistics: TermStatistics;
}

/** The dependencies of a first term, without jobs and workers. */
export function termFixture(): TermFixture {
  const clock = testing.schedulingFixtures.TIMER_CLOCK;
  const log = adapters.log.SILENT_LOG;
  const scheduler = new policy.scheduling.scheduler.Scheduler({
    term: 1,
    takeover: { revision: 1, atMs: 0, staleOwnerMs: 0 },
    log,
  });
  const statistics = new TermStatistics({ scheduler, clock, log, metrics: new NodeMetrics() });
  return { clock, log, scheduler, statistics };
}

/** Puts a job of one step into a scheduler. */
export function putJob(scheduler: policy.scheduling.scheduler.Scheduler, jobId: string): void {
  const spec = { payload: "p", steps: [testing.schedulingFixtures.step()] };
  const job = { jobId, queue: "quick", workspace: "acme", acceptedUnixMs: 0, spec };
  scheduler.putJob(job, { acceptedRevision: 1, seenAtMs: 0 });
}
