/**
 * Runs the requests of one service: who starts next, where, and what follows a failure.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { requests as policy } from "@jackdawlink/policy";
import * as backendAttempt from "./backend_attempt.ts";
import * as backendConnections from "./backend_connections.ts";
import type * as requestIndex from "./request_index.ts";
import type * as requestJob from "./request_job.ts";
import type * as requestMetrics from "./request_metrics.ts";
import { RunningCounts } from "./running_counts.ts";
import type * as trail from "./trail.ts";

/** Added to the told deadline before a run without an answer counts as over. */
export const RUN_END_MARGIN_MS = 500;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** What all runners of an entry share. */
export interface RunnerContext {
  readonly availabilityZone: string;
  readonly clock: ports.clock.Clock;
  readonly permits: ports.permits.Permits;
  readonly membership: ports.members.Membership;
  readonly connections: backendConnections.BackendConnections;
  readonly trail: trail.Trail;
  readonly metrics: requestMetrics.RequestMetrics;
  readonly index: () => requestIndex.RequestIndex;
  readonly memberCount: () => number;
  /** A number in [0, 1) from the entry's seeded generator. */
  readonly random: () => number;
}

/** The requests of one service, waiting and running. */
export class ServiceRunner {
  readonly #service: string;
  readonly #context: RunnerContext;
  readonly #dispatcher = new policy.dispatcher.Dispatcher();
  readonly #budget = new policy.retry.RetryBudget();
  readonly #outliers = new policy.outliers.Outliers();
  readonly #leaving = new policy.leaving.Leaving();
  readonly #running = new RunningCounts();
  readonly #jobs = new Map<string, requestJob.RequestJob>();
  readonly #waitingByQueue = new Map<string, number>();
  #pumping = false;
  #pumpAgain = false;

  constructor(service: string, context: RunnerContext) {
    this.#service = service;
    this.#context = context;
  }

  get waiting(): number {
    return this.#dispatcher.waiting;
  }

  get running(): number {
    return this.#running.total;
  }

  waitingInQueue(queue: string): number {
    return this.#waitingByQueue.get(queue) ?? 0;
  }

  /** Lets an admitted request wait, and starts it at once where it can. */
  enqueue(job: requestJob.RequestJob): void {
    this.#budget.countRequest(this.#context.clock.nowMs());
    this.#wait(job);
    job.answer.onCallerGone(() => this.#onCallerGone(job));
    this.#context.permits.demandChanged();
    this.pump();
  }

  /** Starts as many waiting requests as there are permits for. */
  pump(): void {
    this.#pumpAgain = true;
    if (this.#pumping) return;
    this.#pumping = true;
    while (this.#pumpAgain) {
      this.#pumpAgain = false;
      while (this.#startOne());
    }
    this.#pumping = false;
    this.#context.metrics.waiting.set({ service: this.#service }, this.waiting);
  }

  /** Refuses waiting requests whose time is over, then starts others. */
  tick(nowMs: number): void {
    for (const { requestId } of this.#dispatcher.expire(nowMs)) {
      const job = this.#jobs.get(requestId);
      if (job === undefined) continue;
      this.#forget(job);
      this.refuse(job, nowMs >= job.request.deadlineAtMs ? "deadlineOver" : "waitedTooLong");
    }
    if (this.waiting > 0) this.pump();
  }

  /** Refuses the waiting requests that the configuration no longer permits. */
  onConfigChange(): void {
    const service = this.#context.index().service(this.#service);
    const names = new Set((service?.backendServers ?? []).map(({ name }) => name));
    this.#outliers.retain(names);
    this.#leaving.retain(names);
    for (const { name, draining } of service?.backendServers ?? []) {
      if (draining) this.#context.connections.closeIdle(name);
    }
    for (const { requestId } of this.#dispatcher.all()) {
      const job = this.#jobs.get(requestId)!;
      const refusal = this.#withdrawnReason(job);
      if (refusal !== null) this.#giveUp(job, refusal);
    }
    this.pump();
  }

  /** Refuses everything that waits. */
  refuseWaiting(type: policy.outcome.RefusalType): void {
    for (const { requestId } of this.#dispatcher.all()) {
      this.#giveUp(this.#jobs.get(requestId)!, type);
    }
  }

  /** Running and waiting requests by team. */
  demand(): readonly ports.permits.TeamDemand[] {
    const teams = new Set([...this.#dispatcher.teams(), ...this.#running.teams()]);
    return [...teams].map((team) => ({
      service: this.#service,
      team,
      running: this.#running.ofTeam(team),
      ...this.#dispatcher.waitingOf(team),
    }));
  }

  #wait(job: requestJob.RequestJob): void {
    const { request } = job;
    this.#jobs.set(request.requestId, job);
    this.#waitingByQueue.set(request.queue.name, this.waitingInQueue(request.queue.name) + 1);
    this.#dispatcher.add(request);
  }

  /** Takes a request out of the waiting ones. */
  #forget(job: requestJob.RequestJob): void {
    const { request } = job;
    this.#dispatcher.remove(request.requestId);
    if (!this.#jobs.delete(request.requestId)) return;
    this.#waitingByQueue.set(request.queue.name, this.waitingInQueue(request.queue.name) - 1);
  }

  #startOne(): boolean {
    if (this.#dispatcher.waiting === 0 || !this.#context.membership.isFresh()) return false;
    const nowMs = this.#context.clock.nowMs();
    const standingOf = (team: string) => this.#standingOf(team);
    const orders = new Map<boolean, readonly string[]>();
    for (const request of this.#dispatcher.candidates(nowMs, standingOf)) {
      const job = this.#jobs.get(request.requestId)!;
      const order = this.#orderFor(job, { nowMs, orders });
      if (order.length === 0) continue;
      const permit = this.#context.permits.take({
        team: request.team,
        service: this.#service,
        backendServers: order,
      });
      if (permit === null) continue;
      const weight = this.#context.index().weightOf(this.#service, request.team);
      this.#dispatcher.started(request.requestId, { nowMs, weight });
      this.#forget(job);
      void this.#run(job, permit);
      return true;
    }
    return false;
  }

  #standingOf(team: string): policy.dispatcher.TeamStanding {
    return {
      running: this.#running.ofTeam(team),
      target: this.#context.permits.targetOf(this.#service, team),
      weight: this.#context.index().weightOf(this.#service, team),
    };
  }

  /**
   * The order of backend servers for a request; one that failed wherever it could go may go there
   * again. Worked out once per round for requests that have not failed yet.
   */
  #orderFor(
    job: requestJob.RequestJob,
    { nowMs, orders }: { nowMs: number; orders: Map<boolean, readonly string[]> },
  ): readonly string[] {
    const { repeatable } = job.request;
    if (job.tried.size > 0) {
      const untried = this.#order({ nowMs, repeatable, tried: job.tried });
      if (untried.length > 0) return untried;
    }
    let order = orders.get(repeatable);
    if (order === undefined) {
      order = this.#order({ nowMs, repeatable, tried: NONE_TRIED });
      orders.set(repeatable, order);
    }
    return order;
  }

  #order(
    { nowMs, repeatable, tried }: {
      nowMs: number;
      repeatable: boolean;
      tried: ReadonlySet<string>;
    },
  ): readonly string[] {
    return policy.routing.orderBackendServers(this.#candidates(nowMs), {
      availabilityZone: this.#context.availabilityZone,
      repeatable,
      tried,
      tieBreak: () => this.#context.random(),
    });
  }

  #candidates(nowMs: number): readonly policy.routing.Candidate[] {
    const service = this.#context.index().service(this.#service);
    return (service?.backendServers ?? []).map((backendServer) => ({
      backendServer: backendServer.name,
      availabilityZone: backendServer.availabilityZone,
      slots: backendServer.slots,
      running: this.#running.ofBackendServer(backendServer.name),
      draining: backendServer.draining,
      leaving: this.#leaving.isLeaving(backendServer.name, nowMs),
      health: this.#outliers.health(backendServer.name, nowMs),
      weight: this.#outliers.weight(backendServer.name, nowMs),
    }));
  }

  async #run(job: requestJob.RequestJob, permit: ports.permits.Permit): Promise<void> {
    const { clock, connections, trail } = this.#context;
    const service = this.#context.index().service(this.#service)!;
    const backendServer = service.backendServers.find(({ name }) => name === permit.backendServer);
    if (backendServer === undefined) {
      this.#context.permits.release(permit);
      this.#wait(job);
      return;
    }
    this.#running.add(permit);
    job.attempts += 1;
    const startedAtMs = clock.nowMs();
    const runMs = Math.floor(Math.min(service.maxRunMs, job.request.deadlineAtMs - startedAtMs));
    this.#countStart(job, startedAtMs);
    trail.record(job.request.requestId, "Routed", {
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
    this.#settleConnection(connection, { backendServer, end });
    this.#learn(backendServer, { end, serviceSize: service.backendServers.length });
    this.#releasePermit(permit, end);
    this.#conclude(job, { end, backendServer, startedAtMs });
  }

  #countStart(job: requestJob.RequestJob, nowMs: number): void {
    if (job.attempts > 1) return;
    const waitedSeconds = (nowMs - job.request.enqueuedAtMs) / 1_000;
    this.#context.metrics.queueSeconds.observe({ queue: job.request.queue.name }, waitedSeconds);
  }

  /** Asked in the same turn as the first byte is written. */
  #checkBeforeSend(job: requestJob.RequestJob): policy.outcome.RefusalType | null {
    if (!this.#context.membership.isFresh()) return "notFresh";
    const remainingMs = job.request.deadlineAtMs - this.#context.clock.nowMs();
    if (remainingMs < 1) return "deadlineOver";
    return this.#withdrawnReason(job);
  }

  /** Why the configuration no longer permits a request; null where it does. */
  #withdrawnReason({ request }: requestJob.RequestJob): policy.outcome.RefusalType | null {
    const index = this.#context.index();
    const queue = index.queue(request.queue.name);
    if (queue === undefined || queue.service !== this.#service) return "unknownQueue";
    const team = request.keyDigest === null
      ? queue.openTeam
      : index.teamOfDigest(request.keyDigest);
    if (team !== request.team) return "keyRefused";
    return index.hasLimit(team) ? null : "teamWithoutLimit";
  }

  #settleConnection(
    connection: backendConnections.BackendConnection,
    { backendServer, end }: {
      backendServer: requestIndex.NamedBackendServer;
      end: backendAttempt.AttemptEnd;
    },
  ): void {
    const { connections, memberCount } = this.#context;
    const intact = end.result === "whole" || end.result === "refused";
    const index = this.#context.index();
    if (!intact || end.closing || index.isDraining(backendServer.name)) {
      connections.destroy(connection);
      return;
    }
    const maxIdle = backendConnections.maxIdleConnections(backendServer, memberCount());
    connections.release(connection, { maxIdle });
  }

  /** Updates what is known of the backend server. */
  #learn(
    { name }: requestIndex.NamedBackendServer,
    { end, serviceSize }: { end: backendAttempt.AttemptEnd; serviceSize: number },
  ): void {
    if (end.refusal !== null) return;
    const nowMs = this.#context.clock.nowMs();
    const failed = end.result === "sent" || end.result === "notSent";
    if (!failed) this.#outliers.succeeded(name, nowMs);
    else if (this.#outliers.failed(name, { nowMs, serviceSize })) {
      this.#context.trail.recordService("Ejected a backend server", {
        fields: { service: this.#service, backendServer: name, reason: end.reason },
      });
    }
    if (end.closing || end.result === "refused") {
      this.#noteLeaving(name, policy.leaving.LEAVING_HOLD_MS);
    } else if (end.result === "notSent") {
      this.#noteLeaving(name, policy.leaving.REFUSED_HOLD_MS);
    }
  }

  #noteLeaving(backendServer: string, holdMs: number): void {
    const { clock, connections, trail } = this.#context;
    const nowMs = clock.nowMs();
    if (!this.#leaving.isLeaving(backendServer, nowMs)) {
      trail.recordService("Sends nothing to a leaving backend server", {
        fields: { service: this.#service, backendServer, holdMs },
      });
    }
    this.#leaving.note(backendServer, { nowMs, holdMs });
    connections.closeIdle(backendServer);
  }

  /** Gives the permit back once the run is over for certain. */
  #releasePermit(permit: ports.permits.Permit, { runEndsAtMs }: backendAttempt.AttemptEnd): void {
    const release = () => {
      this.#running.remove(permit);
      this.#context.permits.release(permit);
      this.#context.permits.demandChanged();
      this.pump();
    };
    if (runEndsAtMs === null) {
      queueMicrotask(release);
      return;
    }
    const delayMs = Math.max(0, runEndsAtMs + RUN_END_MARGIN_MS - this.#context.clock.nowMs());
    this.#context.clock.after(delayMs, release);
  }

  #conclude(
    job: requestJob.RequestJob,
    { end, backendServer, startedAtMs }: {
      end: backendAttempt.AttemptEnd;
      backendServer: requestIndex.NamedBackendServer;
      startedAtMs: number;
    },
  ): void {
    const { metrics, clock, trail } = this.#context;
    const nowMs = clock.nowMs();
    metrics.attempts.inc({ service: this.#service, result: end.result });
    metrics.runSeconds.observe({ service: this.#service }, (nowMs - startedAtMs) / 1_000);
    if (end.result === "whole") {
      job.end({ outcome: "answered", status: end.status });
      return;
    }
    job.outcome.attemptFailed(end.result);
    job.tried.add(backendServer.name);
    trail.record(job.request.requestId, "Attempt failed", {
      fields: {
        backendServer: backendServer.name,
        attempt: job.attempts,
        phase: end.result,
        reason: end.reason,
        callerGone: job.answer.callerGone,
      },
    });
    if (this.#shouldRetry(job, { end, nowMs })) this.#retry(job);
    else this.refuse(job, refusalOf(job, { end, nowMs }));
  }

  #shouldRetry(
    job: requestJob.RequestJob,
    { end, nowMs }: { end: backendAttempt.AttemptEnd; nowMs: number },
  ): boolean {
    if (end.refusal !== null || end.result === "whole" || job.answer.callerGone) return false;
    const permitted = policy.retry.mayRetry({
      phase: end.result,
      repeatable: job.request.repeatable,
      attempts: job.attempts,
      remainingMs: job.request.expiresAtMs - nowMs,
      answerStarted: job.answer.started,
    });
    const ratio = this.#context.index().service(this.#service)?.retryBudgetRatio ?? 0;
    return permitted && this.#budget.tryTake({ nowMs, ratio });
  }

  #retry(job: requestJob.RequestJob): void {
    this.#wait(job);
    this.#context.permits.demandChanged();
    this.pump();
  }

  #onCallerGone(job: requestJob.RequestJob): void {
    if (!this.#jobs.has(job.request.requestId)) return;
    this.#forget(job);
    const outcome = job.outcome.ofRefusal();
    this.#context.trail.record(job.request.requestId, "Caller left while waiting", {
      fields: { team: job.request.team, queue: job.request.queue.name, outcome },
    });
    job.end({ outcome, status: null });
    this.#context.permits.demandChanged();
  }

  #giveUp(job: requestJob.RequestJob, type: policy.outcome.RefusalType): void {
    this.#forget(job);
    this.refuse(job, type);
  }

  /** Refuses a request that is not waiting, as far as its attempts allow. */
  refuse(job: requestJob.RequestJob, type: policy.outcome.RefusalType): void {
    const outcome = job.refuse(type);
    this.#context.metrics.refusals.inc({ type });
    this.#context.trail.record(job.request.requestId, "Refused", {
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

function refusalOf(
  job: requestJob.RequestJob,
  { end, nowMs }: { end: backendAttempt.AttemptEnd; nowMs: number },
): policy.outcome.RefusalType {
  if (end.refusal !== null) return end.refusal;
  if (end.reason === "oversized answer") return "answerTooLarge";
  return nowMs >= job.request.deadlineAtMs ? "deadlineOver" : "backendServerFailed";
}
