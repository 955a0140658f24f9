/**
 * The request path: admits requests of callers, queues them, runs them on backend servers and
 * returns the answers.
 *
 * @module
 */
import * as crypto from "node:crypto";
import type * as nodeHttp from "node:http";
import type * as ports from "@jackdawlink/ports";
import { requests as policy } from "@jackdawlink/policy";
import type { http } from "@jackdawlink/schema";
import type * as promClient from "prom-client";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as uuid from "uuid";
import * as admission from "./admission.ts";
import { BackendConnections } from "./backend_connections.ts";
import { BodyReader } from "./body_reader.ts";
import { CallerAnswer } from "./caller_answer.ts";
import * as claimAnswers from "./claim_answers.ts";
import * as requestIndex from "./request_index.ts";
import { RequestJob } from "./request_job.ts";
import { RequestMetrics } from "./request_metrics.ts";
import { ServiceRunner } from "./service_runner.ts";
import * as requestTrace from "./request_trace.ts";

/** How often waiting requests are checked for expiry. */
const TICK_MS = 50;
/** How often a drain checks whether requests are left. */
const DRAIN_POLL_MS = 20;

/** Dependencies of the request path. */
export interface RequestPathOptions {
  readonly availabilityZone: string;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly permits: ports.permits.Permits;
  readonly claims: ports.claims.Claims;
  readonly membership: ports.members.Membership;
  readonly snapshots: ports.members.SnapshotSource;
  readonly drainingVms: ports.members.DrainingVmSource;
  readonly registry: promClient.Registry;
  /** Seed of the random choice between equally ranked backend servers. */
  readonly seed: number;
  /** Replaces the connections to backend servers in replays with simulated time. */
  readonly connections?: BackendConnections;
}

/** An HTTP request of a caller and the response to write to. */
export interface CallerExchange {
  readonly queueName: string;
  readonly path: string;
  readonly message: nodeHttp.IncomingMessage;
  readonly response: nodeHttp.ServerResponse;
}

/** Admits requests and hands them to one {@link ServiceRunner} per service. */
export class RequestPath {
  readonly #options: RequestPathOptions;
  readonly #runners = new Map<string, ServiceRunner>();
  readonly #connections: BackendConnections;
  readonly #bodies = new BodyReader();
  readonly #trace: requestTrace.RequestTrace;
  readonly #metrics: RequestMetrics;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  #index: requestIndex.RequestIndex;
  #draining = false;
  #openCount = 0;
  #cancelTick: () => void = () => undefined;

  constructor(options: RequestPathOptions) {
    this.#options = options;
    this.#connections = options.connections ?? new BackendConnections();
    this.#trace = new requestTrace.RequestTrace(options);
    this.#metrics = new RequestMetrics(options.registry);
    this.#random = xoroshiro128plus(options.seed);
    this.#index = this.#buildIndex();
    options.snapshots.onChange(() => this.#updateIndex());
    options.drainingVms.onChange(() => this.#updateIndex());
    options.permits.setDemandSource(() => this.#demand());
    options.permits.onGranted(() => this.#startWaiting());
    this.#tick();
  }

  /** Whether new requests are refused. */
  get draining(): boolean {
    return this.#draining;
  }

  /** The number of unanswered requests or, if greater, of runs that are not certainly over. */
  get unfinished(): number {
    const running = [...this.#runners.values()].reduce((sum, runner) => sum + runner.running, 0);
    return Math.max(this.#openCount, running);
  }

  /** The recorded decisions about a recent request; null if none are recorded. */
  explain(requestId: string): readonly requestTrace.TraceEvent[] | null {
    return this.#trace.explain(requestId);
  }

  /** Serves one request of a caller; resolves once it is queued or refused. */
  async serve(exchange: CallerExchange): Promise<void> {
    const requestId = uuid.v7();
    const answer = new CallerAnswer(requestId, exchange.response, {
      closeConnection: () => this.#draining,
    });
    this.#openCount += 1;
    exchange.response.once("close", () => {
      this.#openCount -= 1;
    });
    const nowMs = this.#options.clock.nowMs();
    const admitted = this.#admit({ ...exchange, requestId, nowMs });
    if (admitted.isErr()) {
      this.#refuse(answer, { type: admitted.error, queue: exchange.queueName });
      return;
    }
    const { maxRequestBytes } = admitted.value.queue.indexedService;
    const body = await this.#bodies.read(exchange.message, { maxBytes: maxRequestBytes });
    if (body.isOk()) await this.#accept({ ...admitted.value, body: body.value }, answer);
    else if (body.error !== null) {
      this.#refuse(answer, { type: body.error, queue: exchange.queueName });
    }
  }

  /**
   * Refuses new requests at once, and those that still wait after the grace period. Resolves once
   * every request is answered and every run is over.
   */
  async drain({ waitingGraceMs }: { waitingGraceMs: number }): Promise<void> {
    this.#draining = true;
    this.#options.log.info("Draining", { open: this.#openCount });
    const endMs = this.#options.clock.nowMs() + waitingGraceMs;
    while (this.#waitingCount() > 0 && this.#options.clock.nowMs() < endMs) {
      await this.#waitForNextPoll();
    }
    for (const runner of this.#runners.values()) runner.refuseWaiting("draining");
    while (this.unfinished > 0) await this.#waitForNextPoll();
    this.#cancelTick();
    this.#connections.closeAll();
    this.#options.log.info("Drained", {});
  }

  /** Checks a request before its body is read. */
  #admit(incoming: admission.IncomingRequest) {
    if (this.#draining) return admission.refusal("draining");
    if (!this.#options.membership.isFresh()) return admission.refusal("notFresh");
    const admitted = admission.admit(incoming, this.#index);
    if (admitted.isErr()) return admitted;
    const { queue } = admitted.value;
    const waiting = this.#runnerOf(queue.service).countWaitingInQueue(queue.name);
    return waiting >= queue.maxWaiting ? admission.refusal("queueFull") : admitted;
  }

  /** Claims the idempotency key, if there is one, and queues the request. */
  async #accept(request: RequestJob["request"], answer: CallerAnswer): Promise<void> {
    const isGranted = request.idempotencyKey === null || await this.#claim(request, answer);
    if (!isGranted) {
      this.#bodies.release(request.body);
      return;
    }
    const job = new RequestJob(request, answer, {
      onEnd: (end) => this.#onEnd(request, end),
    });
    const refusal = this.#recheckAdmission(job);
    if (refusal === null) this.#runnerOf(request.service).enqueue(job);
    else this.#runnerOf(request.service).refuse(job, refusal);
  }

  /**
   * Repeats the checks whose result may have changed while the body was read and the key claimed.
   */
  #recheckAdmission({ request }: RequestJob): policy.outcome.RefusalType | null {
    if (this.#draining) return "draining";
    if (!this.#options.membership.isFresh()) return "notFresh";
    const { queue } = request;
    const waiting = this.#runnerOf(queue.service).countWaitingInQueue(queue.name);
    return waiting >= queue.maxWaiting ? "queueFull" : null;
  }

  /** Claims the idempotency key; refuses the request and returns false if it isn't granted. */
  async #claim(request: RequestJob["request"], answer: CallerAnswer): Promise<boolean> {
    const claim = await this.#options.claims.claim({
      team: request.team,
      idempotencyKey: request.idempotencyKey!,
      fingerprint: fingerprintOf(request),
      timeoutMs: Math.max(1, request.expiresAtMs - this.#options.clock.nowMs()),
    });
    if (claim.result === "granted") return true;
    const { type, outcome } = claimAnswers.CLAIM_REFUSALS[claim.result];
    this.#refuse(answer, { type, queue: request.queue.name, outcome, keptStatus: claim.status });
    return false;
  }

  #onEnd(request: RequestJob["request"], { outcome, status }: Parameters<RequestJob["end"]>[0]) {
    this.#bodies.release(request.body);
    this.#metrics.requests.inc({ queue: request.queue.name, outcome });
    this.#trace.record(request.requestId, "Ended", {
      fields: { team: request.team, queue: request.queue.name, outcome, status },
    });
    if (request.idempotencyKey === null) return;
    this.#options.claims.finish(
      { team: request.team, idempotencyKey: request.idempotencyKey },
      { outcome: claimAnswers.CLAIM_OUTCOMES[outcome], status },
    );
  }

  #refuse(
    answer: CallerAnswer,
    { type, queue, outcome = "not-run", keptStatus = null }: {
      type: policy.outcome.RefusalType;
      queue: string;
      outcome?: http.Outcome;
      keptStatus?: number | null;
    },
  ): void {
    answer.refuse({ type, outcome, keptStatus });
    this.#metrics.refusals.inc({ type });
    this.#trace.record(answer.requestId, "Refused", { fields: { queue, reason: type, outcome } });
  }

  #runnerOf(service: string): ServiceRunner {
    let runner = this.#runners.get(service);
    if (runner === undefined) {
      runner = new ServiceRunner(service, {
        ...this.#options,
        connections: this.#connections,
        trace: this.#trace,
        metrics: this.#metrics,
        index: () => this.#index,
        memberCount: () => this.#options.snapshots.current().head.members.length,
        random: () => uniformFloat64(this.#random),
      });
      this.#runners.set(service, runner);
    }
    return runner;
  }

  #buildIndex(): requestIndex.RequestIndex {
    const { snapshots, drainingVms } = this.#options;
    return new requestIndex.RequestIndex(snapshots.current().config, drainingVms.current().vms);
  }

  /** Rebuilds the index if the configuration or the draining VMs have changed. */
  #updateIndex(): void {
    const { snapshots, drainingVms } = this.#options;
    const { config } = snapshots.current();
    if (this.#index.isBuiltFrom(config, drainingVms.current().vms)) return;
    this.#index = this.#buildIndex();
    this.#connections.retain(new Set(Object.keys(config.backendServers)));
    for (const runner of this.#runners.values()) runner.onConfigChange();
  }

  #demand(): readonly ports.permits.TeamDemand[] {
    return [...this.#runners.values()].flatMap((runner) => runner.demand());
  }

  #waitingCount(): number {
    return [...this.#runners.values()].reduce((sum, runner) => sum + runner.waiting, 0);
  }

  #startWaiting(): void {
    for (const runner of this.#runners.values()) runner.startWaiting();
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const runner of this.#runners.values()) runner.tick(nowMs);
    this.#cancelTick = this.#options.clock.after(TICK_MS, () => this.#tick());
  }

  #waitForNextPoll(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(DRAIN_POLL_MS, resolve);
    });
  }
}

/**
 * A digest of the request's queue, method, path and body. It detects an idempotency key that is
 * reused for a different request.
 */
function fingerprintOf(request: RequestJob["request"]): string {
  const hash = crypto.createHash("sha256");
  hash.update(`${request.queue.name}\n${request.method}\n${request.path}\n`);
  return hash.update(request.body).digest("hex");
}
