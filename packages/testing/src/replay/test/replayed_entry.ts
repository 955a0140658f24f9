/**
 * One entry of a replay: the production permit manager and request path on in-memory links.
 *
 * @module
 */
import * as entry from "@jackdawlink/entry";
import type * as ports from "@jackdawlink/ports";
import type { peer } from "@jackdawlink/schema";
import * as promClient from "prom-client";
import type { ReplayClock } from "../replay_clock.ts";
import type * as replayRecord from "../replay_record.ts";
import { type ReplayedBackends, ReplayedConnections } from "./replayed_backends.ts";
import { createExchange } from "./replayed_caller.ts";

export const FRESH_FOR_MS = 2_500;

const SILENT_LOG: ports.log.Log = { debug() {}, info() {}, warn() {}, error() {} };

type Handler = (message: peer.Message, sender: ports.peers.Sender) => void;
type Snapshot = ports.members.Snapshot;

/** Options of a {@link ReplayedEntry}. */
export interface EntryOptions {
  readonly memberId: string;
  readonly availabilityZone: string;
  readonly seed: number;
  readonly clock: ReplayClock;
  readonly backends: ReplayedBackends;
  readonly snapshot: Snapshot;
  readonly deliver: (memberId: string, deliver: (to: ReplayedEntry) => void) => void;
}

/** An entry that also implements the peer links, membership and snapshots of its components. */
export class ReplayedEntry
  implements ports.peers.PeerLinks, ports.members.Membership, ports.members.SnapshotSource {
  readonly memberId: string;
  readonly permits: entry.permitManager.PermitManager;
  readonly path: entry.requests.requestPath.RequestPath;
  readonly #options: EntryOptions;
  readonly #handlers = new Map<string, Handler>();
  readonly #onChange: ((snapshot: Snapshot) => void)[] = [];
  readonly #acceptedFences = new Map<string, number>();
  readonly #pendingRequests = new Set<replayRecord.ReplayedRequest>();
  #snapshot: Snapshot;
  #isDead = false;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.memberId = options.memberId;
    this.#snapshot = options.snapshot;
    const common = {
      links: this,
      membership: this,
      snapshots: this,
      clock: this.#clock(),
      log: SILENT_LOG,
    };
    this.permits = new entry.permitManager.PermitManager({ ...common, freshForMs: FRESH_FOR_MS });
    this.path = new entry.requests.requestPath.RequestPath({
      ...common,
      availabilityZone: options.availabilityZone,
      permits: this.permits,
      claims: NO_CLAIMS,
      drainingVms: NO_DRAINING_VMS,
      registry: new promClient.Registry(),
      seed: options.seed,
      connections: new ReplayedConnections(options.backends, () => this.#isDead),
    });
  }

  get isDead(): boolean {
    return this.#isDead;
  }

  /** Serves a caller's request at this entry. */
  serve(request: replayRecord.ReplayedRequest, secret: string | null): void {
    this.#pendingRequests.add(request);
    const exchange = createExchange({
      request,
      secret,
      onResult: () => this.#pendingRequests.delete(request),
    });
    void this.path.serve(exchange);
  }

  /** Kills the entry; its callers lose their connections. */
  kill(): void {
    this.#isDead = true;
    for (const { results } of this.#pendingRequests) {
      results.push({ outcome: "connection lost", reason: "entry killed" });
    }
    this.#pendingRequests.clear();
  }

  /** Applies a newer head and configuration; ignores older revisions. */
  applySnapshot(snapshot: Snapshot): void {
    if (this.#isDead || snapshot.head.revision <= this.#snapshot.head.revision) return;
    this.#snapshot = snapshot;
    for (const { incarnation } of snapshot.head.fences) {
      if (!this.#acceptedFences.has(incarnation)) {
        this.#acceptedFences.set(incarnation, this.#options.clock.nowMs());
      }
    }
    for (const callback of this.#onChange) callback(snapshot);
  }

  current(): Snapshot {
    return this.#snapshot;
  }

  onChange(callback: (snapshot: Snapshot) => void): void {
    this.#onChange.push(callback);
  }

  send(memberId: string, message: peer.Message): void {
    const sender = { memberId: this.memberId, incarnation: this.incarnation()! };
    this.#options.deliver(memberId, (to) => to.#receive(message, sender));
  }

  on(type: string, handler: unknown): void {
    this.#handlers.set(type, handler as Handler);
  }

  isFresh(): boolean {
    return !this.#isDead;
  }

  incarnation(): string | null {
    const members = this.#snapshot.head.members;
    return members.find(({ memberId }) => memberId === this.memberId)?.incarnation ?? null;
  }

  onIncarnationChange(): void {}

  acceptedFenceAtMs(incarnation: string): number | null {
    return this.#acceptedFences.get(incarnation) ?? null;
  }

  #receive(message: peer.Message, sender: ports.peers.Sender): void {
    if (!this.#isDead) this.#handlers.get(message.type)?.(message, sender);
  }

  /** The replay's clock; its timers no longer fire once the entry is dead. */
  #clock(): ports.clock.Clock {
    const { clock } = this.#options;
    return {
      nowMs: () => clock.nowMs(),
      steadyMs: () => clock.steadyMs(),
      wallMs: () => clock.wallMs(),
      after: (delayMs, callback) =>
        clock.after(delayMs, () => {
          if (!this.#isDead) callback();
        }),
    };
  }
}

const NO_DRAINING_VMS: ports.members.DrainingVmSource = {
  current: () => ({ modRevision: 0, vms: new Set() }),
  onChange: () => {},
};
/** Claims are not used, as traces have no idempotency keys. */
const NO_CLAIMS = {} as ports.claims.Claims;
