/**
 * Runs the requests of one service: decides which waiting request starts next and on which backend
 * server, and whether a failed attempt is retried or refused.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { requests as policy } from "@jackdawlink/policy";
import * as backendAttempt from "./backend_attempt.ts";
import { BackendSelector, type OrderCache } from "./backend_selector.ts";
import * as backendConnections from "./backend_connections.ts";
import type * as requestIndex from "./request_index.ts";
import type * as requestJob from "./request_job.ts";
import type * as requestMetrics from "./request_metrics.ts";
import { RunningCounts } from "./running_counts.ts";
import type * as requestTrace from "./request_trace.ts";
import { WaitingJobs } from "./waiting_jobs.ts";

/** A run without an answer counts as over this long after its deadline. */
export const RUN_END_MARGIN_MS = 500;
/** The status with which a backend server answers when it stops a run at its deadline. */
const STATUS_GATEWAY_TIMEOUT = 504;
/**
 * A gateway timeout this close to the caller's deadline counts as caused by it: the run time sent
 * to the backend server is rounded down, and the timers of backend servers differ slightly.
 */
const DEADLINE_TOLERANCE_MS = 20;

/** Dependencies shared by the runners of all services of an entry. */
export interface RunnerContext {
  readonly availabilityZone: string;
  readonly clock: ports.clock.Clock;
  readonly permits: ports.permits.Permits;
  readonly membership: ports.members.Membership;
  readonly connections: backendConnections.BackendConnections;
  readonly trace: requestTrace.RequestTrace;
  readonly metrics: requestMetrics.RequestMetrics;
  readonly index: () => requestIndex.RequestIndex;
  readonly memberCount: () => number;
  /** A number in [0, 1) from the entry's seeded generator. */
  readonly random: () => number;
}

/** Holds the waiting and running requests of one service and starts them. */
export class ServiceRunner {
  readonly #service: string;
  readonly #context: RunnerContext;
  readonly #waiting = new WaitingJobs();
  readonly #budget = new policy.retry.RetryBudget();
  readonly #selector: BackendSelector;
  readonly #running = new RunningCounts();
  readonly #runEstimate = new policy.runTimeEstimate.RunTimeEstimate();
  #isStarting = false;
  #startAgain = false;

  constructor(service: string, context: RunnerContext) {
    this.#service = service;
    this.#context = context;
    this.#selector = new BackendSelector({
      ...context,
      backendServers: () => context.index().service(service)?.backendServers ?? [],
      runningAt: (backendServer) => this.#running.ofBackendServer(backendServer),
    });
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get running(): number {
    return this.#running.total;
  }

  countWaitingInQueue(queue: string): number {
    return this.#waiting.countInQueue(queue);
  }

  /** Queues an admitted request, and starts it at once if it can get a permit. */
  enqueue(job: requestJob.RequestJob): void {
    this.#budget.countRequest(this.#context.clock.nowMs());
    this.#waiting.add(job);
    job.answer.onCallerGone(() => this.#onCallerGone(job));
    this.#context.permits.demandChanged();
    this.startWaiting();
  }

  /** Starts waiting requests until no other can start. A re-entrant call repeats the loop. */
  startWaiting(): void {
    this.#startAgain = true;
    if (this.#isStarting) return;
    this.#isStarting = true;
    while (this.#startAgain) {
      this.#startAgain = false;
      while (this.#startNext());
    }
    this.#isStarting = false;
    this.#context.metrics.waiting.set({ service: this.#service }, this.waiting);
  }

  /** Refuses waiting requests that have expired, then starts others. */
  tick(nowMs: number): void {
    for (const job of this.#waiting.expire(nowMs)) {
      this.refuse(job, nowMs >= job.request.deadlineAtMs ? "deadlineOver" : "waitedTooLong");
    }
    if (this.waiting > 0) this.startWaiting();
  }

  /**
   * Refuses the waiting requests that the new configuration no longer permits, and closes idle
   * connections to draining backend servers.
   */
  onConfigChange(): void {
    const service = this.#context.index().service(this.#service);
    this.#selector.onConfigChange();
    for (const { name, draining } of service?.backendServers ?? []) {
      if (draining) this.#context.connections.closeIdle(name);
    }
    for (const job of this.#waiting.all()) {
      const refusal = this.#context.index().refusalOf(job.request);
      if (refusal !== null) this.#removeAndRefuse(job, refusal);
    }
    this.startWaiting();
  }

  /** Refuses all waiting requests. */
  refuseWaiting(type: policy.outcome.RefusalType): void {
    for (const job of this.#waiting.all()) this.#removeAndRefuse(job, type);
  }

  /** The running and waiting requests of each team. */
  demand(): readonly ports.permits.TeamDemand[] {
    const teams = new Set([...this.#waiting.teams(), ...this.#running.teams()]);
    return [...teams].map((team) => ({
      service: this.#service,
      team,
      running: this.#running.ofTeam(team),
      ...this.#waiting.countsOfTeam(team),
    }));
  }

  /** Starts or sheds one waiting request; false if none could be started. */
  #startNext(): boolean {
    if (this.waiting === 0 || !this.#context.membership.isFresh()) return false;
    const nowMs = this.#context.clock.nowMs();
    const statusOf = (team: string) => this.#statusOf(team);
    const orders: OrderCache = new Map();
    for (const job of this.#waiting.candidates(nowMs, statusOf)) {
      const { request } = job;
      if (this.#shouldShed(request.deadlineAtMs, nowMs)) {
        this.#removeAndRefuse(job, "deadlineOver");
        return true;
      }
      const order = this.#selector.orderFor(job, orders);
      if (order.length === 0) continue;
      const permit = this.#context.permits.take({
        team: request.team,
        service: this.#service,
        backendServers: order,
      });
      if (permit === null) continue;
      const weight = this.#context.index().weightOf(this.#service, request.team);
      this.#waiting.start(job, { nowMs, weight });
      void this.#run(job, permit);
      return true;
    }
    return false;
  }

  /**
   * Whether to refuse a request because it would miss its deadline. This happens only while other
   * requests wait that can use the slot.
   */
  #shouldShed(deadlineAtMs: number, nowMs: number): boolean {
    return this.waiting > 1 && this.#runEstimate.wouldMissDeadline({ nowMs, deadlineAtMs });
  }

  #statusOf(team: string): policy.dispatcher.TeamStatus {
    return {
      running: this.#running.ofTeam(team),
      target: this.#context.permits.targetOf(this.#service, team),
      weight: this.#context.index().weightOf(this.#service, team),
    };
  }

  async #run(job: requestJob.RequestJob, permit: ports.permits.Permit): Promise<void> {
    const { clock, connections, trace } = this.#context;
    const service = this.#context.index().service(this.#service)!;
    const backendServer = service.backendServers.find(({ name }) => name === permit.backendServer);
    if (backendServer === undefined) {
      this.#context.permits.release(permit);
      this.#waiting.add(job);
      return;
    }
    this.#running.add(permit);
    job.attempts += 1;
    const startedAtMs = clock.nowMs();
    const runMs = Math.floor(Math.min(service.maxRunMs, job.request.deadlineAtMs - startedAtMs));
    this.#recordQueueTime(job, startedAtMs);
    trace.record(job.request.requestId, "Routed", {
      fields: {
        team: job.request.team,
        queue: job.request.queue.name,
        backendServer: backendServer.name,
        attempt: job.attempts,
        waitedMs: Math.round(startedAtMs - job.request.enqueuedAtMs),
        runMs,
      },
    });
    const connection = connections.acquire(backendServer);
    const attempt = new backendAttempt.BackendAttempt({
      job,
      connection,
      clock,
      maxAnswerBytes: service.maxAnswerBytes,
      runMs,
      checkBeforeSend: () => this.#checkBeforeSend(job),
    });
    const end = await attempt.run();
    this.#releaseConnection(connection, { backendServer, end });
    this.#recordAttempt(backendServer.name, end);
    this.#releasePermit(permit, end);
    this.#handleAttemptEnd(job, { end, backendServer, startedAtMs });
  }

  #recordQueueTime(job: requestJob.RequestJob, nowMs: number): void {
    if (job.attempts > 1) return;
    const waitedSeconds = (nowMs - job.request.enqueuedAtMs) / 1_000;
    this.#context.metrics.queueSeconds.observe({ queue: job.request.queue.name }, waitedSeconds);
  }

  /** Called in the same event loop turn as the first byte is written. */
  #checkBeforeSend(job: requestJob.RequestJob): policy.outcome.RefusalType | null {
    if (!this.#context.membership.isFresh()) return "notFresh";
    const remainingMs = job.request.deadlineAtMs - this.#context.clock.nowMs();
    if (remainingMs < 1) return "deadlineOver";
    return this.#context.index().refusalOf(job.request);
  }

  /** Keeps a connection that can be reused, and destroys any other. */
  #releaseConnection(
    connection: backendConnections.BackendConnection,
    { backendServer, end }: {
      backendServer: requestIndex.NamedBackendServer;
      end: backendAttempt.AttemptEnd;
    },
  ): void {
    const { connections, memberCount } = this.#context;
    const isComplete = end.result === "whole" || end.result === "refused";
    const index = this.#context.index();
    if (!isComplete || end.announcedClose || index.isDraining(backendServer.name)) {
      connections.destroy(connection);
      return;
    }
    const maxIdle = backendConnections.maxIdleConnections(backendServer, memberCount());
    connections.release(connection, { maxIdle });
  }

  /** Updates the health and the cooldown of the backend server. */
  #recordAttempt(backendServer: string, end: backendAttempt.AttemptEnd): void {
    const { connections, trace } = this.#context;
    const { ejected, leavingForMs } = this.#selector.recordAttempt(backendServer, end);
    const fields = { service: this.#service, backendServer, reason: end.reason };
    if (ejected) trace.recordService("Ejected a backend server", { fields });
    if (leavingForMs === null) return;
    connections.closeIdle(backendServer);
    trace.recordService("Sends nothing to a leaving backend server", {
      fields: { ...fields, leavingForMs },
    });
  }

  /**
   * Releases the permit once the run is certainly over. A run that may still go on keeps it until
   * its deadline and {@link RUN_END_MARGIN_MS} have passed.
   */
  #releasePermit(permit: ports.permits.Permit, { runEndsAtMs }: backendAttempt.AttemptEnd): void {
    const release = () => {
      this.#running.remove(permit);
      this.#context.permits.release(permit);
      this.#context.permits.demandChanged();
      this.startWaiting();
    };
    if (runEndsAtMs === null) {
      queueMicrotask(release);
      return;
    }
    const delayMs = Math.max(
      0,
      runEndsAtMs + RUN_END_MARGIN_MS - this.#context.clock.steadyMs(),
    );
    this.#context.clock.after(delayMs, release);
  }

  /** Ends, retries or refuses the request after an attempt. */
  #handleAttemptEnd(
    job: requestJob.RequestJob,
    { end, backendServer, startedAtMs }: {
      end: backendAttempt.AttemptEnd;
      backendServer: requestIndex.NamedBackendServer;
      startedAtMs: number;
    },
  ): void {
    const { metrics, clock, trace } = this.#context;
    const nowMs = clock.nowMs();
    metrics.attempts.inc({ service: this.#service, result: end.result });
    metrics.runSeconds.observe({ service: this.#service }, (nowMs - startedAtMs) / 1_000);
    if (end.result === "whole") {
      this.#recordRunTime(job, { status: end.status, startedAtMs, nowMs });
      job.end({ outcome: "answered", status: end.status });
      return;
    }
    job.outcome.recordFailedAttempt(end.result);
    job.tried.add(backendServer.name);
    trace.record(job.request.requestId, "Attempt failed", {
      fields: {
        backendServer: backendServer.name,
        attempt: job.attempts,
        phase: end.result,
        reason: end.reason,
        callerGone: job.answer.callerGone,
      },
    });
    if (this.#shouldRetry(job, { end, nowMs })) this.#retry(job);
    else this.refuse(job, refusalAfterAttempt(job, { end, nowMs }));
  }

  /** Adds the run time to the estimate; a gateway timeout counts only at the caller's deadline. */
  #recordRunTime(
    { request }: requestJob.RequestJob,
    { status, startedAtMs, nowMs }: { status: number | null; startedAtMs: number; nowMs: number },
  ): void {
    const runMs = nowMs - startedAtMs;
    if (status !== STATUS_GATEWAY_TIMEOUT) this.#runEstimate.addCompleted(runMs, nowMs);
    else if (nowMs >= request.deadlineAtMs - DEADLINE_TOLERANCE_MS) {
      this.#runEstimate.addTimedOut(runMs, nowMs);
    }
  }

  #shouldRetry(
    job: requestJob.RequestJob,
    { end, nowMs }: { end: backendAttempt.AttemptEnd; nowMs: number },
  ): boolean {
    if (end.refusal !== null || end.result === "whole" || job.answer.callerGone) return false;
    const isAllowed = policy.retry.canRetry({
      phase: end.result,
      repeatable: job.request.repeatable,
      attempts: job.attempts,
      remainingMs: job.request.expiresAtMs - nowMs,
      answerStarted: job.answer.started,
    });
    const ratio = this.#context.index().service(this.#service)?.retryBudgetRatio ?? 0;
    return isAllowed && this.#budget.tryTake({ nowMs, ratio });
  }

  #retry(job: requestJob.RequestJob): void {
    this.#waiting.add(job);
    this.#context.permits.demandChanged();
    this.startWaiting();
  }

  #onCallerGone(job: requestJob.RequestJob): void {
    if (!this.#waiting.remove(job)) return;
    const outcome = job.outcome.refusalOutcome();
    this.#context.trace.record(job.request.requestId, "Caller left while waiting", {
      fields: { team: job.request.team, queue: job.request.queue.name, outcome },
    });
    job.end({ outcome, status: null });
    this.#context.permits.demandChanged();
  }

  #removeAndRefuse(job: requestJob.RequestJob, type: policy.outcome.RefusalType): void {
    this.#waiting.remove(job);
    this.refuse(job, type);
  }

  /** Refuses a request that is not waiting, with the outcome that its attempts determine. */
  refuse(job: requestJob.RequestJob, type: policy.outcome.RefusalType): void {
    const outcome = job.refuse(type);
    this.#context.metrics.refusals.inc({ type });
    this.#context.trace.record(job.request.requestId, "Refused", {
      fields: {
        team: job.request.team,
        queue: job.request.queue.name,
        attempts: job.attempts,
        reason: type,
        outcome,
      },
    });
    this.#context.permits.demandChanged();
  }
}

/** The refusal sent to the caller when the last attempt has failed. */
function refusalAfterAttempt(
  job: requestJob.RequestJob,
  { end, nowMs }: { end: backendAttempt.AttemptEnd; nowMs: number },
): policy.outcome.RefusalType {
  if (end.refusal !== null) return end.refusal;
  if (end.reason === "oversized answer") return "answerTooLarge";
  return nowMs >= job.request.deadlineAtMs ? "deadlineOver" : "backendServerFailed";
}
