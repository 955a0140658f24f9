/**
 * Talking to one worker: reports, leases, and orders until their outcome is known.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { OrderLimiter } from "./order_limiter.ts";
import { pause, WakeSignal } from "./pause.ts";
import type { TermStatistics } from "./term_statistics.ts";

type Run = policy.scheduling.jobRecord.Run;
type WorkerRecord = policy.scheduling.workerRecord.WorkerRecord;

const { WORKER_LEASE_MS } = policy.scheduling.workerRecord;
/** How long a report waits for an end; each renews the lease. */
const REPORT_WAIT_MS = 1_500;
/** Ends that come close together share a report. */
const REPORT_INTERVAL_MS = 80;
/**
 * A report lists all ends that are not acknowledged, and does not wait while there are any. Until they are
 * stored, the next one is put off so long, which keeps a slow journal from making reports long and frequent.
 */
const MAX_JOURNAL_WAIT_MS = 500;
const RETRY_INTERVAL_MS = 200;
/** While the ownership is proven by workers alone, idle ones are asked too. */
const PROOF_INTERVAL_MS = 700;

export interface WorkerSessionOptions {
  readonly worker: WorkerRecord;
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly client: ports.scheduling.WorkerClient;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly statistics: TermStatistics;
  readonly fencingToken: number;
  readonly canIssueOrders: () => boolean;
  /** True while the store does not prove the ownership. */
  readonly needsWorkerProof: () => boolean;
  /** The worker accepted the token in a call that was sent at that time. */
  readonly onWorkerProof: (workerId: string, askedAtMs: number) => void;
  /** Something has changed that decisions depend on. */
  readonly onChange: () => void;
  readonly onFenced: () => void;
}

/** One life of a worker under one fencing token. */
export class WorkerSession {
  readonly #options: WorkerSessionOptions;
  readonly #wakeUp = new WakeSignal();
  readonly #storedSignal = new WakeSignal();
  readonly #startLimiter = new OrderLimiter();
  #isStopped = false;
  #isResponding = true;
  #reportRequestedAtMs = 0;

  constructor(options: WorkerSessionOptions) {
    this.#options = options;
  }

  get worker(): WorkerRecord {
    return this.#options.worker;
  }

  /** All ends up to this one are stored. */
  markEndsStored(endNumber: number): void {
    if (endNumber > this.worker.ends.stored) {
      this.worker.ends.stored = endNumber;
      this.#storedSignal.wake();
      this.#wakeUp.wake();
    }
  }

  /** Makes a sleeping loop look again. */
  wake(): void {
    this.#wakeUp.wake();
  }

  stop(): void {
    this.#isStopped = true;
    this.#storedSignal.wake();
    this.#wakeUp.wake();
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#needsReport()) {
        await this.#wakeUp.wait(PROOF_INTERVAL_MS);
        continue;
      }
      const isAnswered = await this.#requestReport();
      await pause(isAnswered ? REPORT_INTERVAL_MS : RETRY_INTERVAL_MS);
      await this.#waitUntilStored();
    }
  }

  async #waitUntilStored(): Promise<void> {
    const { worker: { ends }, clock } = this.#options;
    const untilMs = clock.nowMs() + MAX_JOURNAL_WAIT_MS;
    for (let nowMs = clock.nowMs(); nowMs < untilMs; nowMs = clock.nowMs()) {
      if (this.#isStopped || ends.stored >= ends.processed) {
        return;
      }
      await this.#storedSignal.wait(untilMs - nowMs);
    }
  }

  /** Orders a start, again until its outcome is known or the run is given up. */
  async start(run: Run, ticket: string | undefined): Promise<void> {
    const { worker, scheduler, client, clock, fencingToken } = this.#options;
    const leaseUntilWorkerMs = worker.extendLease(clock.nowMs(), WORKER_LEASE_MS);
    this.#wakeUp.wake();
    for (let isRepeated = false; this.#isTracked(run) && run.state === "starting";) {
      if (!this.#options.canIssueOrders()) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      let askedAtMs = clock.nowMs();
      const outcome = await this.#startLimiter.run(() => {
        askedAtMs = clock.nowMs();
        return this.#canStillStart(run)
          ? client.start(this.#address(), {
            task: run.task.name,
            runId: run.runId,
            payload: run.step.job.job.spec.payload,
            fencingToken,
            leaseUntilWorkerMs,
            ...(run.task.checkpoint === "" ? {} : { checkpoint: run.task.checkpoint }),
            ...(ticket === undefined ? {} : { ticket }),
          })
          : undefined;
      });
      if (outcome === undefined) {
        continue;
      }
      if (this.#isStopped) {
        return;
      }
      this.#recordOutcome(outcome, askedAtMs);
      scheduler.recordStartOutcome(run, outcome, { nowMs: clock.nowMs(), isRepeated });
      if (outcome.kind !== "unknown") {
        this.#options.onChange();
        this.#wakeUp.wake();
        return;
      }
      this.#logUnansweredOrder("start", run, outcome.reason);
      isRepeated = true;
    }
  }

  /** Whether an order that had to wait is still wanted. */
  #canStillStart(run: Run): boolean {
    return this.#options.canIssueOrders() && this.#isTracked(run) && run.state === "starting";
  }

  /** Orders a stop, again until the worker has taken it or the run is over. */
  async stopRun(run: Run, reason: string): Promise<void> {
    const { client, clock, scheduler, fencingToken, log } = this.#options;
    log.info("Run is being stopped", {
      job: run.step.job.job.jobId,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      reason,
    });
    while (this.#isTracked(run)) {
      const askedAtMs = clock.nowMs();
      const outcome = await client.stop(this.#address(), {
        task: run.task.name,
        runId: run.runId,
        fencingToken,
      });
      if (this.#isStopped) {
        return;
      }
      this.#recordOutcome(outcome, askedAtMs);
      if (outcome.kind !== "unknown") {
        scheduler.recordStopAccepted(run, clock.nowMs());
        this.#wakeUp.wake();
        return;
      }
      this.#logUnansweredOrder("stop", run, outcome.reason);
      await pause(RETRY_INTERVAL_MS);
    }
  }

  /** Stops a run of a job that is over and not kept; the next report tells whether it has to be repeated. */
  async stopStrayRun(task: string, runId: number): Promise<void> {
    const { client, clock, fencingToken, log, worker } = this.#options;
    log.info("Stray run is being stopped", { task, run: runId, worker: worker.info.workerId });
    const askedAtMs = clock.nowMs();
    const outcome = await client.stop(this.#address(), { task, runId, fencingToken });
    if (!this.#isStopped) {
      this.#recordOutcome(outcome, askedAtMs);
      this.#wakeUp.wake();
    }
  }

  async pace(run: Run, percent: number): Promise<void> {
    const { client, clock, fencingToken } = this.#options;
    const askedAtMs = clock.nowMs();
    const { task: { name: task }, runId } = run;
    const outcome = await client.pace(this.#address(), { task, runId, percent, fencingToken });
    if (this.#isStopped) {
      return;
    }
    this.#recordOutcome(outcome, askedAtMs);
    if (outcome.kind === "unknown") {
      this.#logUnansweredOrder("pace", run, outcome.reason);
    }
  }

  #needsReport(): boolean {
    const { worker, clock, needsWorkerProof } = this.#options;
    return !worker.hasReported || worker.runs.size > 0 || worker.unknownTasks.size > 0 ||
      worker.ends.stored > worker.ends.acknowledged ||
      (needsWorkerProof() && clock.nowMs() - this.#reportRequestedAtMs >= PROOF_INTERVAL_MS);
  }

  async #requestReport(): Promise<boolean> {
    const { worker, scheduler, client, clock, fencingToken, canIssueOrders } = this.#options;
    const askedAtMs = clock.nowMs();
    this.#reportRequestedAtMs = askedAtMs;
    // A worker that does not answer must not get longer leases, or its tasks would never count as over.
    const renews = this.#isResponding && worker.hasClock && canIssueOrders();
    const acknowledgedEnd = worker.ends.stored;
    const answer = await client.hold(this.#address(), {
      fencingToken,
      acknowledgedEnd,
      waitMs: this.#isResponding && worker.hasReported && worker.runs.size > 0 ? REPORT_WAIT_MS : 0,
      ...(renews ? { leaseUntilWorkerMs: worker.extendLease(askedAtMs, WORKER_LEASE_MS) } : {}),
    });
    if (this.#isStopped) {
      return true;
    }
    this.#recordOutcome(answer, askedAtMs);
    if (answer.kind !== "report") {
      return false;
    }
    if (this.#isFromOtherIncarnation(answer.report)) {
      this.#dropWorker();
      return false;
    }
    const receivedAtMs = clock.nowMs();
    scheduler.applyReport(worker, answer.report, { sentAtMs: askedAtMs, receivedAtMs });
    this.#options.statistics.recordReport(
      worker.ends.recordAcknowledged(acknowledgedEnd, receivedAtMs),
    );
    this.#options.onChange();
    return true;
  }

  #isFromOtherIncarnation(report: schema.scheduling.WorkerReport): boolean {
    const known = this.worker.info.startedUnixMs;
    return report.startedUnixMs !== undefined && report.startedUnixMs !== known;
  }

  #dropWorker(): void {
    const { scheduler, clock, worker, onChange } = this.#options;
    this.stop();
    scheduler.dropWorker(worker, clock.nowMs(), "another life answers at its address");
    onChange();
  }

  #recordOutcome(
    outcome: { readonly kind: string },
    askedAtMs: number,
  ): void {
    const { worker, log, onWorkerProof, onFenced } = this.#options;
    const isAnswering = outcome.kind !== "unknown";
    if (isAnswering !== this.#isResponding) {
      log.info(isAnswering ? "Worker answers again" : "Worker does not answer", {
        worker: worker.info.workerId,
        runs: worker.runs.size,
      });
      this.#isResponding = isAnswering;
    }
    if (outcome.kind === "fenced") {
      onFenced();
    } else if (outcome.kind === "other-life") {
      this.#dropWorker();
    } else if (isAnswering) {
      onWorkerProof(worker.info.workerId, askedAtMs);
    }
  }

  /** Whether the run is still on the books and this session is the one to speak for it. */
  #isTracked(run: Run): boolean {
    const key = policy.scheduling.jobRecord.runKey(run.task.name, run.runId);
    return !this.#isStopped && this.worker.runs.get(key) === run;
  }

  #address(): ports.scheduling.WorkerAddress {
    return this.worker.info;
  }

  #logUnansweredOrder(order: string, run: Run, reason: string): void {
    this.#options.log.info("Order without an answer", {
      order,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      reason,
    });
  }
}
