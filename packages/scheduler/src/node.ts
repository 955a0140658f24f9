/**
 * One node of the scheduler: serves callers, and schedules jobs while it is the elected owner.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { CallerService, handleJobRequest } from "./caller_service.ts";
import { ConfigFollower } from "./config_follower.ts";
import { Handover } from "./handover.ts";
import { JobStore } from "./job_store.ts";
import type { NodeMetrics } from "./metrics.ts";
import { OwnerTerm } from "./owner_term.ts";
import { Ownership, type TermStart } from "./ownership.ts";
import { pause } from "./pause.ts";
import { PeerClient, type PeerRequest, type PeerResponse, PeerServer } from "./peer_rpc.ts";

/** The takeover attempts of candidates are spread over this time. */
const CANDIDATE_SPREAD_MS = 40;
/** Time to store pending job progress before the ownership is released. */
const FLUSH_TIMEOUT_MS = 400;

export interface NodeOptions {
  readonly node: string;
  /** Unique for each start of a process. */
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly revokeMs: number;
  readonly capacity: policy.scheduling.ownerEligibility.NodeCapacity;
  readonly store: ports.scheduling.SchedulingStore;
  readonly isStoreRefusal: (error: schema.errors.JackdawlinkError) => boolean;
  readonly documents: ports.scheduling.Documents;
  readonly workers: ports.scheduling.WorkerClient;
  readonly vms: ports.scheduling.VmClient;
  readonly advice: ports.scheduling.AdviceClient | undefined;
  readonly clock: ports.clock.Clock;
  readonly logs: (part: string) => ports.log.Log;
  readonly metrics: NodeMetrics;
  /** Returns a number between 0 and 1, which spreads the candidates' takeover attempts. */
  readonly random: () => number;
}

/** Wires together the parts of a node: election, owner term, configuration, peers and caller service. */
export class Node {
  readonly callers: CallerService;
  readonly #options: NodeOptions;
  readonly #configs: ConfigFollower;
  readonly #ownership: Ownership;
  readonly #peers: PeerClient;
  readonly #peerServer: PeerServer;
  readonly #handover: Handover;
  #term: OwnerTerm | undefined;
  /** A term that starts as soon as the first configuration has been read. */
  #deferredStart: TermStart | undefined;

  constructor(options: NodeOptions) {
    this.#options = options;
    const { store, documents, clock, logs, node, incarnation, peerAddress } = options;
    this.#configs = new ConfigFollower({
      store,
      documents,
      clock,
      log: logs("config"),
      onChange: (config) => this.#applyConfig(config),
    });
    this.#ownership = new Ownership({
      node,
      incarnation,
      peerAddress,
      store,
      clock,
      log: logs("owner"),
      candidateDelayMs: options.random() * CANDIDATE_SPREAD_MS,
      strength: policy.scheduling.ownerEligibility.strengthOf(options.capacity),
      onStart: (start) => this.#startTerm(start),
      onProof: (askedAtMs) => this.#term?.ownershipProof.recordStoreProof(askedAtMs),
      onEnd: () => this.#endTerm(),
    });
    this.#peers = new PeerClient({
      log: logs("peer"),
      onNotice: (notice) => void this.#handover.handleNotice(notice),
    });
    this.#peerServer = new PeerServer(peerAddress, {
      handle: (request) => this.#handlePeerRequest(request),
      log: logs("peer"),
    });
    this.#handover = new Handover({
      ownership: this.#ownership,
      store,
      clock,
      log: logs("owner"),
      notifyPeers: (notice, maxCount = Number.POSITIVE_INFINITY) =>
        this.#peerServer.notify(notice, { maxCount, random: options.random }),
      offerTakeover: (fencingToken) => void this.#offerTakeover(fencingToken),
    });
    this.callers = new CallerService({
      configs: this.#configs,
      jobs: new JobStore({ store, clock, isRefusal: options.isStoreRefusal }),
      documents,
      peers: this.#peers,
      clock,
      log: logs("caller"),
      revokeMs: options.revokeMs,
      currentTerm: () => this.#term,
      ownerAddress: () => this.#ownership.ownerAddress,
    });
  }

  start(): void {
    void this.#configs.run();
    this.#ownership.start();
    void this.#handover.run();
  }

  /** Releases the ownership so that another node takes over; callers are still served. */
  async release(): Promise<void> {
    const term = this.#term;
    if (term !== undefined) {
      await Promise.race([term.flush(), pause(FLUSH_TIMEOUT_MS)]);
    }
    await this.#ownership.release();
  }

  stop(): void {
    this.#configs.stop();
    this.#ownership.stop();
    this.#handover.stop();
    this.#endTerm();
    this.#peers.close();
    this.#peerServer.close();
  }

  #handlePeerRequest(request: PeerRequest): PeerResponse {
    if (request.kind === "takeover-offer") {
      this.#handover.acceptOffer(request.fencingToken);
      return { kind: "noted" };
    }
    return handleJobRequest(this.#term, request);
  }

  async #offerTakeover(fencingToken: number): Promise<void> {
    const address = this.#ownership.ownerAddress;
    const answer = address === undefined
      ? undefined
      : await this.#peers.request(address, { kind: "takeover-offer", fencingToken });
    if (answer?.isErr()) {
      this.#options.logs("owner").info("Could not offer to take over", {
        address,
        reason: answer.error.message,
      });
    }
  }

  #applyConfig(config: schema.scheduling.SchedulingConfig): void {
    this.#term?.setConfig(config);
    if (this.#deferredStart !== undefined) {
      const start = this.#deferredStart;
      this.#deferredStart = undefined;
      this.#startTerm(start);
    }
  }

  #startTerm(start: TermStart): void {
    const config = this.#configs.config;
    if (config === undefined) {
      this.#deferredStart = start;
      return;
    }
    const { node, store, documents, workers, vms, advice, clock, logs, metrics } = this.#options;
    const term = new OwnerTerm({
      start,
      node,
      store,
      documents,
      workers,
      vms,
      advice,
      clock,
      log: logs("scheduler"),
      metrics,
      config,
      onFenced: (reason) => this.#ownership.resign(reason),
    });
    this.#term = term;
    metrics.isOwner.set(1);
    void term.run();
  }

  #endTerm(): void {
    this.#deferredStart = undefined;
    this.#term?.stop();
    this.#term = undefined;
    this.#options.metrics.isOwner.set(0);
  }
}
