/**
 * Replays a trace on production entries in simulated time.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import { type config as configs, head as heads } from "@jackdawlink/schema";
import { ReplayClock } from "../replay_clock.ts";
import type * as replayRecord from "../replay_record.ts";
import * as traces from "../trace.ts";
import { ReplayedBackends } from "./replayed_backends.ts";
import { ReplayedEntry } from "./replayed_entry.ts";

/** Time before the trace starts, so that the permits have coordinators. */
const WARM_UP_MS = 500;
/** Time after the trace in which waiting requests start or are refused. */
const WIND_DOWN_MS = 140_000;
const LINK_LATENCY_MS = 1;
/** Delay between two entries that apply the same head. */
const HEAD_SPACING_MS = 50;
/** A killed entry is fenced once its lease has expired. */
const LEASE_MS = 3_000;
const SAMPLE_INTERVAL_MS = 100;

/** Replays a trace. `config` must be the configuration that the trace's header names. */
export async function replay(
  trace: traces.Trace,
  config: configs.Config,
): Promise<replayRecord.ReplayRecord> {
  const replayed = new Replay(trace, config);
  return await replayed.run();
}

class Replay {
  readonly #trace: traces.Trace;
  readonly #config: configs.Config;
  readonly #clock = new ReplayClock();
  readonly #requests = new Map<string, replayRecord.ReplayedRequest>();
  readonly #samples: replayRecord.Sample[] = [];
  readonly #entries: ReplayedEntry[];
  readonly #backends: ReplayedBackends;
  #snapshot: ports.members.Snapshot;

  constructor(trace: traces.Trace, config: configs.Config) {
    this.#trace = trace;
    this.#config = config;
    this.#snapshot = firstSnapshot(trace, config);
    this.#backends = new ReplayedBackends({
      clock: this.#clock,
      requestOf: (requestId) => this.#requests.get(requestId)!,
    });
    this.#entries = trace.header.entryZones.map((availabilityZone, index) =>
      new ReplayedEntry({
        memberId: memberIdOf(index),
        availabilityZone,
        seed: trace.header.seed + index,
        clock: this.#clock,
        backends: this.#backends,
        snapshot: this.#snapshot,
        deliver: (memberId, deliver) => this.#deliver(memberId, deliver),
      })
    );
  }

  async run(): Promise<replayRecord.ReplayRecord> {
    const { arrivals, events, header } = this.#trace;
    await this.#clock.runUntil(WARM_UP_MS);
    for (const [index, arrival] of arrivals.entries()) {
      this.#clock.after(arrival.atMs, () => this.#serveArrival(arrival, index));
    }
    for (const event of events) this.#clock.after(event.atMs, () => this.#applyEvent(event));
    for (let atMs = 0; atMs < header.durationMs; atMs += SAMPLE_INTERVAL_MS) {
      this.#clock.after(atMs, () => this.#sampleWaiting(atMs));
    }
    await this.#clock.runUntil(WARM_UP_MS + header.durationMs + WIND_DOWN_MS);
    for (const entry of this.#entries) entry.permits.stop();
    return this.#record();
  }

  /** Converts times to trace time, which starts after the warm-up. */
  #record(): replayRecord.ReplayRecord {
    return {
      trace: this.#trace,
      config: this.#config,
      requests: [...this.#requests.values()],
      runs: this.#backends.runs.map((run) => ({
        ...run,
        startMs: run.startMs - WARM_UP_MS,
        endMs: run.endMs - WARM_UP_MS,
      })),
      samples: this.#samples,
    };
  }

  /** Serves an arrival; like the balancer, sends requests of a dead entry to the next live one. */
  #serveArrival(arrival: traces.Arrival, index: number): void {
    const { service } = this.#config.queues[arrival.queue]!;
    const requestId = `request-${index}`;
    const request: replayRecord.ReplayedRequest = { requestId, arrival, service, results: [] };
    this.#requests.set(requestId, request);
    const order = [
      ...this.#entries.slice(arrival.entry),
      ...this.#entries.slice(0, arrival.entry),
    ];
    order.find(({ isDead }) => !isDead)!.serve(request, this.#secretOf(arrival));
  }

  /** Secrets in the example configurations are derived from the workload and the key. */
  #secretOf({ team, queue }: traces.Arrival): string | null {
    if (this.#config.queues[queue]!.openTeam === team) return null;
    const key = Object.entries(this.#config.keys).find(([, { team: of }]) => of === team)![0];
    return `example-${this.#trace.header.workload}-${key}`;
  }

  #applyEvent(event: traces.TraceEvent): void {
    const { config } = this.#snapshot;
    const handlers: { [TType in traces.TraceEvent["type"]]: (event: EventOf<TType>) => void } = {
      entryKilled: ({ entry }) => {
        this.#entries[entry]!.kill();
        this.#clock.after(LEASE_MS, () => this.#fence(memberIdOf(entry)));
      },
      backendServerLeaving: ({ backendServer }) => {
        const server = { ...config.backendServers[backendServer]!, draining: true };
        const backendServers = { ...config.backendServers, [backendServer]: server };
        this.#publish({ config: { ...config, backendServers } });
      },
      limitChanged: ({ limit, maxRunningRequests }) => {
        const changed = { ...config.limits[limit]!, maxRunningRequests };
        this.#publish({ config: { ...config, limits: { ...config.limits, [limit]: changed } } });
      },
      keyWithdrawn: ({ key }) => {
        const withdrawn = { ...config.keys[key]!, withdrawn: true };
        this.#publish({ config: { ...config, keys: { ...config.keys, [key]: withdrawn } } });
      },
    };
    (handlers[event.type] as (event: traces.TraceEvent) => void)(event);
  }

  #fence(memberId: string): void {
    const { head } = this.#snapshot;
    const { incarnation } = head.members.find((member) => member.memberId === memberId)!;
    const revision = head.revision + 1;
    const fence = { memberId, incarnation, revision, clean: false, withoutMajority: false };
    this.#publish({
      head: {
        ...head,
        membersRevision: revision,
        members: head.members.filter((member) => member.memberId !== memberId),
        fences: [...head.fences, fence],
      },
    });
  }

  #publish(change: Partial<ports.members.Snapshot>): void {
    const next = { ...this.#snapshot, ...change };
    const revision = this.#snapshot.head.revision + 1;
    const snapshot = { ...next, head: { ...next.head, revision } };
    this.#snapshot = snapshot;
    for (const [index, entry] of this.#entries.entries()) {
      this.#clock.after(index * HEAD_SPACING_MS, () => entry.applySnapshot(snapshot));
    }
  }

  #deliver(memberId: string, deliver: (to: ReplayedEntry) => void): void {
    const to = this.#entries.find((entry) => entry.memberId === memberId);
    if (to !== undefined) this.#clock.after(LINK_LATENCY_MS, () => deliver(to));
  }

  /** Counts the requests that have neither started a run nor received a result. */
  #sampleWaiting(atMs: number): void {
    const started = new Set(this.#backends.runs.map(({ requestId }) => requestId));
    const waiting = new Map<string, replayRecord.Waiting>();
    for (
      const { requestId, arrival: { team }, service, results } of this.#requests.values()
    ) {
      if (results.length > 0 || started.has(requestId)) continue;
      const name = `${service}/${team}`;
      const before = waiting.get(name)?.waiting ?? 0;
      waiting.set(name, { service, team, waiting: before + 1 });
    }
    this.#samples.push({ atMs, waiting: [...waiting.values()] });
  }
}

type EventOf<TType extends traces.TraceEvent["type"]> = Extract<
  traces.TraceEvent,
  { type: TType }
>;

function memberIdOf(index: number): string {
  return `entry-${index + 1}`;
}

function firstSnapshot(trace: traces.Trace, config: configs.Config): ports.members.Snapshot {
  const members = trace.header.entryZones.map((availabilityZone, index) => ({
    memberId: memberIdOf(index),
    incarnation: `${memberIdOf(index)}-1`,
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    availabilityZone,
    leaving: false,
  }));
  return {
    head: { ...heads.EMPTY_HEAD, revision: 1, membersRevision: 1, members },
    config: requireValid(config),
  };
}

function requireValid(config: configs.Config): configs.Config {
  const errors = policy.configCheck.checkConfig(config).filter(policy.configCheck.isError);
  if (errors.length > 0) {
    throw new traces.TraceError(`The configuration of the trace has ${errors.length} errors`);
  }
  return config;
}
