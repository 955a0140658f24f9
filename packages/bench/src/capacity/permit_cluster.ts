/**
 * Simulates the permits (concurrency tokens) of several entries in one process, in simulated time
 * and with generated traffic. It uses the real policy and codec without sockets, and counts the
 * messages, bytes and processor time that permits cost.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { makeMember } from "./config_slopes.ts";

/** The size and the traffic of one simulation. */
export interface ClusterOptions {
  readonly config: schema.config.Config;
  readonly members: number;
  /** The demand as a fraction of all slots; above 1, requests queue. */
  readonly utilization: number;
  readonly meanRunMs: number;
  /** The number of teams that send requests. */
  readonly activeTeams: number;
  readonly simulatedMs: number;
  readonly seed: number;
}

/** The mean cost of permits for one entry. */
export interface ClusterCost {
  readonly requestsPerSecond: number;
  readonly messagesPerSecond: number;
  /** Sent and received, without framing. */
  readonly bytesPerSecond: number;
  readonly cpuPercent: number;
}

interface RunningRequest {
  readonly permit: policy.permits.HeldPermit;
  readonly endsAtMs: number;
}

interface PendingMessage {
  readonly to: number;
  readonly from: number;
  readonly bytes: Uint8Array;
}

/** The interval between the turns of an entry, as in the real entry, and the network latency. */
const STEP_MS = 10;
/** By then, coordinators have started and demand is steady. */
const WARM_UP_MS = 2_000;
const RANDOM_STEPS = 1_000_000;
const US_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1_000;
/** Each entry drops requests beyond this many waiting ones of a team and service. */
const MAX_WAITING = 8;
const TIMING = { freshForMs: 2_500, marginMs: 500, acceptedAtMs: () => null };

/** One entry, whose arrivals and clock the cluster drives. */
class SimulatedEntry {
  readonly member: policy.permits.PermitMember;
  readonly #serversOf: ReadonlyMap<string, readonly string[]>;
  readonly #loads = new Map<
    string,
    { service: string; team: string; running: number; waiting: number }
  >();
  #running: RunningRequest[] = [];
  startedCount = 0;

  constructor(
    self: schema.head.Member,
    options: { serversOf: ReadonlyMap<string, readonly string[]> },
  ) {
    this.member = new policy.permits.PermitMember(self);
    this.#serversOf = options.serversOf;
  }

  addRequest(service: string, team: string): void {
    const key = `${service}/${team}`;
    const load = this.#loads.get(key) ?? { service, team, running: 0, waiting: 0 };
    this.#loads.set(key, load);
    load.waiting = Math.min(MAX_WAITING, load.waiting + 1);
  }

  completeRequests(nowMs: number): void {
    const ended = this.#running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    if (ended.length === 0) return;
    this.#running = this.#running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { permit } of ended) {
      this.member.release(permit);
      this.#loads.get(`${permit.service}/${permit.team}`)!.running -= 1;
    }
  }

  startRequests(runMs: () => number, nowMs: number): void {
    for (const [key, load] of this.#loads) {
      while (load.waiting > 0) {
        const { service, team } = load;
        const backendServers = this.#serversOf.get(service)!;
        const permit = this.member.take({ team, service, backendServers });
        if (permit === null) break;
        load.waiting -= 1;
        load.running += 1;
        this.startedCount += 1;
        this.#running.push({ permit, endsAtMs: nowMs + runMs() });
      }
      if (load.waiting + load.running === 0) this.#loads.delete(key);
    }
  }

  loads(): policy.permits.ServiceLoad[] {
    return [...this.#loads.values()].map((load) => ({ ...load, urgentWaiting: 0 }));
  }
}

/** Simulates a cluster and returns the mean cost of one entry after a warm-up. */
export function measureCluster(options: ClusterOptions): ClusterCost {
  const cluster = new Cluster(options);
  cluster.runUntil(WARM_UP_MS);
  const before = cluster.counts();
  const cpu = process.cpuUsage();
  cluster.runUntil(WARM_UP_MS + options.simulatedMs);
  const { user, system } = process.cpuUsage(cpu);
  const after = cluster.counts();
  const entrySeconds = options.members * options.simulatedMs / MS_PER_SECOND;
  return {
    requestsPerSecond: (after.started - before.started) / entrySeconds,
    messagesPerSecond: 2 * (after.messages - before.messages) / entrySeconds,
    bytesPerSecond: 2 * (after.bytes - before.bytes) / entrySeconds,
    cpuPercent: 100 * (user + system) / US_PER_SECOND / entrySeconds,
  };
}

class Cluster {
  readonly #options: ClusterOptions;
  readonly #entries: readonly SimulatedEntry[];
  readonly #members: readonly schema.head.Member[];
  readonly #indexOf: ReadonlyMap<string, number>;
  readonly #demandPairs: readonly { service: string; team: string }[];
  readonly #random;
  readonly #arrivalsPerStep: number;
  #pendingMessages: PendingMessage[] = [];
  #nowMs = 0;
  #messages = 0;
  #bytes = 0;

  constructor(options: ClusterOptions) {
    const { config, members, utilization, meanRunMs, seed } = options;
    this.#options = options;
    this.#random = xoroshiro128plus(seed);
    this.#members = Array.from({ length: members }, (_, index) => makeMember(index));
    this.#indexOf = new Map(this.#members.map(({ memberId }, index) => [memberId, index]));
    const serversOf = serversByService(config);
    this.#entries = this.#members.map((self) => new SimulatedEntry(self, { serversOf }));
    this.#demandPairs = demandPairsOf(config, options.activeTeams);
    const slots = Object.values(config.backendServers).reduce((sum, it) => sum + it.slots, 0);
    this.#arrivalsPerStep = utilization * slots * STEP_MS / meanRunMs / members;
    const view = {
      members: this.#members,
      fences: [],
      membersRevision: 1,
      groups: policy.permitGroups.groupsOf(config),
    };
    this.#entries.forEach(({ member }) => member.setView(view));
  }

  counts() {
    const started = this.#entries.reduce((sum, entry) => sum + entry.startedCount, 0);
    return { started, messages: this.#messages, bytes: this.#bytes };
  }

  runUntil(endMs: number): void {
    while (this.#nowMs < endMs) {
      this.#nowMs += STEP_MS;
      this.#deliver();
      this.#entries.forEach((entry, index) => this.#runTurn(entry, index));
    }
  }

  #deliver(): void {
    const deliveries = this.#pendingMessages;
    this.#pendingMessages = [];
    for (const { to, from, bytes } of deliveries) {
      const message = adapters.peerCodec.decode(bytes)._unsafeUnwrap();
      const sender = this.#members[from]!;
      this.#entries[to]!.member.receive(message as policy.permits.PermitMessage, sender);
    }
  }

  #runTurn(entry: SimulatedEntry, index: number): void {
    entry.completeRequests(this.#nowMs);
    this.#addArrivals(entry);
    entry.startRequests(() => this.#randomRunMs(), this.#nowMs);
    const turn = entry.member.advance(this.#nowMs, { loads: entry.loads(), timing: TIMING });
    for (const { memberId, message } of turn.messages) {
      const bytes = adapters.peerCodec.encode(message);
      this.#messages += 1;
      this.#bytes += bytes.byteLength;
      this.#pendingMessages.push({ to: this.#indexOf.get(memberId)!, from: index, bytes });
    }
  }

  #addArrivals(entry: SimulatedEntry): void {
    const whole = Math.floor(this.#arrivalsPerStep);
    const count = whole + (this.#randomFraction() < this.#arrivalsPerStep - whole ? 1 : 0);
    for (let arrival = 0; arrival < count; arrival += 1) {
      const { service, team } = this
        .#demandPairs[uniformInt(this.#random, 0, this.#demandPairs.length - 1)]!;
      entry.addRequest(service, team);
    }
  }

  #randomRunMs(): number {
    return -Math.log(1 - this.#randomFraction()) * this.#options.meanRunMs;
  }

  #randomFraction(): number {
    return uniformInt(this.#random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  }
}

function serversByService(config: schema.config.Config): Map<string, string[]> {
  const byService = new Map<string, string[]>();
  for (const [name, { service }] of Object.entries(config.backendServers)) {
    const names = byService.get(service) ?? [];
    names.push(name);
    byService.set(service, names);
  }
  return byService;
}

/** The pairs of an active team and a service in which it has a share. */
function demandPairsOf(config: schema.config.Config, activeTeams: number) {
  const teams = new Set(Object.keys(config.teams).slice(0, activeTeams));
  return Object.values(config.shares)
    .filter(({ team }) => teams.has(team))
    .map(({ team, pool }) => ({ team, service: pool }));
}
