/**
 * Communicates with one worker: polls its reports, renews its lease, acknowledges task ends, and repeats
 * start and stop orders until their outcome is known. A task end is the worker's record that a run is over.
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
const { STOP_EFFECT_MS } = policy.scheduling.strayRuns;
/** How long a report request waits for a task end (long poll); each request renews the lease. */
const REPORT_WAIT_MS = 1_500;
/** Pause after a report, so that task ends shortly after one another share the next report. */
const REPORT_INTERVAL_MS = 80;
/**
 * How long the next report is delayed while task ends wait for the journal. A report lists all
 * unacknowledged ends and returns at once if there are any, so without the delay a slow journal would make
 * reports long and frequent.
 */
const MAX_JOURNAL_WAIT_MS = 500;
const RETRY_INTERVAL_MS = 200;
/**
 * The longest period between report requests to an idle worker that gives no response. A worker that only
 * times out is asked this often in any case: a request takes 700 ms to time out.
 */
const MAX_RETRY_PERIOD_MS = 900;
/** Poll interval for idle workers while only workers can prove the ownership. */
const PROOF_INTERVAL_MS = 700;

const STOP_OUTCOME_MESSAGES: Readonly<Record<schema.scheduling.OrderOutcome["kind"], string>> = {
  done: "Stop accepted",
  refused: "Stop refused",
  unknown: "Stop got no response",
  fenced: "Stop fenced",
  "other-life": "Stop reached another incarnation",
};

export interface WorkerSessionOptions {
  readonly worker: WorkerRecord;
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly client: ports.scheduling.WorkerClient;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly statistics: TermStatistics;
  readonly fencingToken: number;
  readonly canIssueOrders: () => boolean;
  /** Whether the worker's capacity is known recently enough for tasks to be started. */
  readonly isCapacityConfirmed: () => boolean;
  /** True while the store cannot prove the ownership, so that proof from workers is needed. */
  readonly needsWorkerProof: () => boolean;
  /**
   * Called when the worker has accepted the fencing token in a request sent at `askedAtMs`, on the clock's
   * upper reading.
   */
  readonly onWorkerProof: (workerId: string, askedAtMs: number) => void;
  /** Called when a later incarnation has taken the worker's place, whose record is given. */
  readonly onReplaced: (successor: WorkerRecord) => void;
  /** Called when something has changed that scheduling decisions depend on. */
  readonly onChange: () => void;
  /** Called when the worker has refused the fencing token as outdated. */
  readonly onFenced: () => void;
}

/** A session with one incarnation of a worker, under one fencing token. */
export class WorkerSession {
  readonly #options: WorkerSessionOptions;
  readonly #wakeUp = new WakeSignal();
  readonly #storedSignal = new WakeSignal();
  readonly #startLimiter = new OrderLimiter();
  #isStopped = false;
  readonly #retrySignal = new WakeSignal();
  readonly #incarnation = new policy.scheduling.incarnationProof.IncarnationProof();
  #isResponding = true;
  #reportRequestedAtMs = 0;
  #retryPeriodMs = RETRY_INTERVAL_MS;

  constructor(options: WorkerSessionOptions) {
    this.#options = options;
  }

  get worker(): WorkerRecord {
    return this.#options.worker;
  }

  /** Marks all task ends up to `endNumber` as stored, so that the next report acknowledges them. */
  markEndsStored(endNumber: number): void {
    if (endNumber > this.worker.ends.stored) {
      this.worker.ends.stored = endNumber;
      this.#storedSignal.wake();
      this.#wakeUp.wake();
    }
  }

  /** Makes the report loop check at once whether a report is needed. */
  wake(): void {
    this.#wakeUp.wake();
  }

  /** Repeats a failed report request at once: the worker's registration shows that its process is alive. */
  retryNow(): void {
    this.#retrySignal.wake();
  }

  stop(): void {
    this.#isStopped = true;
    this.#storedSignal.wake();
    this.#retrySignal.wake();
    this.#wakeUp.wake();
  }

  /** Requests reports until the session is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#needsReport()) {
        await this.#wakeUp.wait(PROOF_INTERVAL_MS);
        continue;
      }
      if (await this.#requestReport()) {
        this.#retryPeriodMs = RETRY_INTERVAL_MS;
        await pause(REPORT_INTERVAL_MS);
      } else {
        await this.#waitForRetry();
      }
      await this.#waitUntilStored();
    }
  }

  /** Waits before a failed request is repeated; for longer each time while the worker has no runs. */
  async #waitForRetry(): Promise<void> {
    const { worker, clock } = this.#options;
    if (worker.runs.size > 0) {
      this.#retryPeriodMs = RETRY_INTERVAL_MS;
      return pause(RETRY_INTERVAL_MS);
    }
    const untilMs = this.#reportRequestedAtMs + this.#retryPeriodMs;
    this.#retryPeriodMs = Math.min(2 * this.#retryPeriodMs, MAX_RETRY_PERIOD_MS);
    this.#retrySignal.reset();
    await this.#retrySignal.wait(Math.max(RETRY_INTERVAL_MS, untilMs - clock.steadyMs()));
  }

  /** Waits until the journal has stored all processed task ends, for `MAX_JOURNAL_WAIT_MS` at most. */
  async #waitUntilStored(): Promise<void> {
    const { worker: { ends }, clock } = this.#options;
    const untilMs = clock.steadyMs() + MAX_JOURNAL_WAIT_MS;
    for (let nowMs = clock.steadyMs(); nowMs < untilMs; nowMs = clock.steadyMs()) {
      if (this.#isStopped || ends.stored >= ends.processed) {
        return;
      }
      await this.#storedSignal.wait(untilMs - nowMs);
    }
  }

  /** Sends a start order, and repeats it until its outcome is known or the run has been dropped. */
  async start(run: Run, ticket: string | undefined): Promise<void> {
    const { worker, scheduler, client, clock, fencingToken } = this.#options;
    const leaseUntilWorkerMs = worker.extendLease(clock.steadyMs(), WORKER_LEASE_MS);
    this.#wakeUp.wake();
    for (let isRepeated = false; this.#isTracked(run) && run.state === "starting";) {
      if (!this.#options.canIssueOrders()) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      if (!this.#options.isCapacityConfirmed()) {
        scheduler.withdrawStart(run, "the worker's capacity is unconfirmed");
        this.#options.onChange();
        return;
      }
      let askedAtMs = clock.nowMs();
      const outcome = await this.#startLimiter.run(() => {
        askedAtMs = clock.nowMs();
        if (!this.#canStillStart(run)) {
          return undefined;
        }
        scheduler.recordStartSent(run, clock.steadyMs());
        return client.start(this.#address(), {
          task: run.task.name,
          runId: run.runId,
          payload: run.step.job.job.spec.payload,
          fencingToken,
          leaseUntilWorkerMs,
          ...(run.task.checkpoint === "" ? {} : { checkpoint: run.task.checkpoint }),
          ...(ticket === undefined ? {} : { ticket }),
        });
      });
      if (outcome === undefined) {
        continue;
      }
      if (this.#isStopped) {
        return;
      }
      this.#recordOutcome(outcome, askedAtMs);
      if (outcome.kind === "unknown" && outcome.isSent !== false) {
        this.#incarnation.recordUnanswered(clock.nowMs());
      }
      scheduler.recordStartOutcome(run, outcome, { nowMs: clock.steadyMs(), isRepeated });
      if (outcome.kind !== "unknown") {
        this.#options.onChange();
        this.#wakeUp.wake();
        return;
      }
      this.#logUnansweredOrder("start", run, outcome.reason);
      isRepeated = true;
      if (outcome.isSent === false) {
        await pause(RETRY_INTERVAL_MS);
      }
    }
  }

  /** Whether a start order that waited for a slot should still be sent. */
  #canStillStart(run: Run): boolean {
    return this.#options.canIssueOrders() && this.#options.isCapacityConfirmed() &&
      this.#isTracked(run) && run.state === "starting";
  }

  /** Sends a stop order, and repeats it until the run is over. */
  async stopRun(run: Run, reason: string): Promise<void> {
    const { client, clock, scheduler, fencingToken, log } = this.#options;
    log.info("Stopping run", {
      job: run.step.job.job.jobId,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      reason,
    });
    const orderedAtMs = clock.nowMs();
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
      this.#recordStopOutcome(outcome, {
        task: run.task.name,
        runId: run.runId,
        tookMs: clock.nowMs() - orderedAtMs,
      });
      if (outcome.kind === "done") {
        scheduler.recordStopAccepted(run, clock.steadyMs());
        this.#wakeUp.wake();
        await this.#waitForStop(run);
      } else {
        await pause(RETRY_INTERVAL_MS);
      }
    }
  }

  /** Waits until a run is over whose stop has been accepted, or a later report still shows it at work. */
  async #waitForStop(run: Run): Promise<void> {
    const { clock, log, statistics } = this.#options;
    const overdueAtMs = clock.steadyMs() + STOP_EFFECT_MS;
    while (this.#isTracked(run)) {
      if (run.reportedAtMs !== undefined && run.reportedAtMs > overdueAtMs) {
        statistics.recordStop("overdue");
        log.warn("Run goes on after its stop was accepted", {
          task: run.task.name,
          run: run.runId,
          worker: run.workerId,
        });
        return;
      }
      await pause(RETRY_INTERVAL_MS);
    }
  }

  /**
   * Sends one stop order for a run that is not tracked. The scheduler orders it again if it fails or a later
   * report still lists the run.
   */
  async stopStrayRun(task: string, runId: number): Promise<void> {
    const { client, clock, fencingToken, log, worker } = this.#options;
    log.info("Stopping stray run", { task, run: runId, worker: worker.info.workerId });
    const askedAtMs = clock.nowMs();
    const outcome = await client.stop(this.#address(), { task, runId, fencingToken });
    if (this.#isStopped) {
      return;
    }
    this.#recordOutcome(outcome, askedAtMs);
    this.#recordStopOutcome(outcome, { task, runId, tookMs: clock.nowMs() - askedAtMs });
    const isAccepted = outcome.kind === "done";
    if (!isAccepted) {
      await pause(RETRY_INTERVAL_MS);
    }
    worker.strayRuns.recordStop({ task, runId }, isAccepted ? clock.steadyMs() : undefined);
    this.#wakeUp.wake();
  }

  /** Sets the speed of a run, in percent of full speed; a later decision repeats an order that failed. */
  async pace(run: Run, percent: number): Promise<void> {
    const { client, clock, fencingToken, log } = this.#options;
    const askedAtMs = clock.nowMs();
    const { task: { name: task }, runId } = run;
    const outcome = await client.pace(this.#address(), { task, runId, percent, fencingToken });
    if (this.#isStopped) {
      return;
    }
    this.#recordOutcome(outcome, askedAtMs);
    if (outcome.kind === "unknown" || outcome.kind === "refused") {
      const mayBeCarriedOut = outcome.kind === "unknown";
      policy.scheduling.pacing.recordPaceFailure(run, { percent, mayBeCarriedOut });
      log.info("Speed unchanged", {
        task,
        run: runId,
        worker: run.workerId,
        percent,
        outcome: outcome.kind,
        reason: outcome.reason,
      });
    }
  }

  #needsReport(): boolean {
    const { worker, clock, needsWorkerProof } = this.#options;
    return !worker.hasReported || worker.runs.size > 0 || worker.unknownTasks.size > 0 ||
      worker.strayRuns.isReportDue || worker.ends.stored > worker.ends.acknowledged ||
      (needsWorkerProof() && clock.steadyMs() - this.#reportRequestedAtMs >= PROOF_INTERVAL_MS);
  }

  /** Requests a report and applies it; false if there was none. */
  async #requestReport(): Promise<boolean> {
    const { worker, scheduler, client, clock, fencingToken, canIssueOrders } = this.#options;
    const askedAtMs = clock.nowMs();
    const sentAtMs = clock.steadyMs();
    this.#reportRequestedAtMs = sentAtMs;
    // An unresponsive worker's lease must be left to expire, or its runs would never count as over.
    const renewsLease = this.#isResponding && worker.hasClock && canIssueOrders();
    // The next incarnation would take the acknowledgement for one of its own ends.
    const acknowledgedEnd = this.#incarnation.isInDoubt ? 0 : worker.ends.stored;
    const answer = await client.hold(this.#address(), {
      fencingToken,
      acknowledgedEnd,
      waitMs: this.#isResponding && worker.hasReported && worker.runs.size > 0 ? REPORT_WAIT_MS : 0,
      ...(renewsLease ? { leaseUntilWorkerMs: worker.extendLease(sentAtMs, WORKER_LEASE_MS) } : {}),
    });
    if (this.#isStopped) {
      return true;
    }
    this.#recordOutcome(answer, askedAtMs);
    if (answer.kind !== "report") {
      return false;
    }
    const { startedUnixMs } = answer.report;
    if (startedUnixMs !== undefined && startedUnixMs !== worker.info.startedUnixMs) {
      this.#replaceWorker(startedUnixMs);
      return false;
    }
    this.#incarnation.recordReport({
      sentAtMs: askedAtMs,
      receivedAtMs: clock.nowMs(),
      workerClockMs: answer.report.workerClockMs,
    });
    const receivedAtMs = clock.steadyMs();
    scheduler.applyReport(worker, answer.report, { sentAtMs, receivedAtMs });
    this.#options.statistics.recordReport(
      worker.ends.recordAcknowledged(acknowledgedEnd, receivedAtMs),
    );
    this.#options.onChange();
    return true;
  }

  /** Replaces the worker by the incarnation that has answered, which may not have registered yet. */
  #replaceWorker(startedUnixMs: number): void {
    const { scheduler, clock, worker, onReplaced, onChange } = this.#options;
    const nowMs = clock.steadyMs();
    const reason = "another incarnation answers under its id";
    this.stop();
    scheduler.recordCrash(worker, nowMs, reason);
    const info = { ...worker.info, startedUnixMs };
    const successor = scheduler.replaceWorker(worker, info, { nowMs, reason });
    if (successor !== undefined) {
      successor.isListed = worker.isListed;
      onReplaced(successor);
    }
    onChange();
  }

  /** Drops the worker, as one of another id has answered at its address. */
  #dropWorker(): void {
    const { scheduler, clock, worker, onChange } = this.#options;
    const nowMs = clock.steadyMs();
    const reason = "another worker answers at its address";
    this.stop();
    scheduler.recordCrash(worker, nowMs, reason);
    scheduler.dropWorker(worker, nowMs, reason);
    onChange();
  }

  /** Updates the worker's responsiveness and the ownership proof from the outcome of a request. */
  #recordOutcome(
    outcome: schema.scheduling.OrderOutcome | { readonly kind: "report" },
    askedAtMs: number,
  ): void {
    const { worker, clock, log, statistics, onWorkerProof, onFenced } = this.#options;
    statistics.recordWorkerCall(outcome.kind);
    const isResponding = outcome.kind !== "unknown";
    if (isResponding !== this.#isResponding) {
      log.info(isResponding ? "Worker is responding again" : "Worker is not responding", {
        worker: worker.info.workerId,
        runs: worker.runs.size,
      });
      this.#isResponding = isResponding;
    }
    if (outcome.kind === "done") {
      const { workerClockMs } = outcome;
      this.#incarnation.recordAnswer({
        sentAtMs: askedAtMs,
        receivedAtMs: clock.nowMs(),
        workerClockMs,
      });
    }
    if (outcome.kind === "fenced") {
      onFenced();
    } else if (outcome.kind === "other-life") {
      this.#dropWorker();
    } else if (isResponding) {
      onWorkerProof(worker.info.workerId, askedAtMs);
    }
  }

  /** Whether the session is open and the run is still assigned to its worker. */
  #isTracked(run: Run): boolean {
    const key = policy.scheduling.jobRecord.runKey(run.task.name, run.runId);
    return !this.#isStopped && this.worker.runs.get(key) === run;
  }

  #address(): ports.scheduling.WorkerAddress {
    return this.worker.info;
  }

  #logUnansweredOrder(order: string, run: Run, reason: string): void {
    this.#options.log.info("Order got no response", {
      order,
      task: run.task.name,
      run: run.runId,
      worker: run.workerId,
      reason,
    });
  }

  /** Logs and counts how a worker answered a stop; `tookMs` is the time since the stop was first sent. */
  #recordStopOutcome(
    outcome: schema.scheduling.OrderOutcome,
    { task, runId, tookMs }: {
      readonly task: string;
      readonly runId: number;
      readonly tookMs: number;
    },
  ): void {
    this.#options.statistics.recordStop(outcome.kind);
    this.#options.log.info(STOP_OUTCOME_MESSAGES[outcome.kind], {
      task,
      run: runId,
      worker: this.worker.info.workerId,
      reason: "reason" in outcome ? outcome.reason : undefined,
      tookMs: Math.round(tookMs),
    });
  }
}
