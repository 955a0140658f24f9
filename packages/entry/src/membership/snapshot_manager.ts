/**
 * Holds the current head and configuration. Polls the store, polls sooner when a store watch
 * reports a change, and catches up from peers with a higher revision.
 *
 * @module
 */
import type * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { CatchUp } from "./catch_up.ts";

/** Options of a {@link SnapshotManager}. */
export interface SnapshotManagerOptions {
  readonly store: ports.store.Store;
  readonly headRepository: adapters.headRepository.HeadRepository;
  readonly configRepository: adapters.configRepository.ConfigRepository;
  /** Holds the chunks of the configuration; shared by the repository and the catch-up of peers. */
  readonly assembler: policy.configAssembler.ConfigAssembler;
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly headPollMs: number;
  /** Random numbers between 0 and 1 for jitter; `Math.random` by default. */
  readonly random?: () => number;
  /** Whether the next poll must also read the lease keys of the members. */
  readonly needsAliveKeys: () => boolean;
  /** Reads the list of draining VMs in the same poll; false if the store is unavailable. */
  readonly readDrainingVms: () => Promise<boolean>;
  readonly onRead: (read: policy.memberState.StoreRead) => void;
}

/** The maximum jitter of a poll in either direction, as a fraction of the interval. */
const POLL_JITTER = 0.2;
/** Spreads the polls of all processes that the same watch event triggers. */
const WATCH_JITTER_MS = 30;

/** Follows the head record; replaces the snapshot only with one of a higher revision. */
export class SnapshotManager implements ports.members.SnapshotSource {
  readonly #options: SnapshotManagerOptions;
  readonly #random: () => number;
  readonly #catchUp: CatchUp;
  readonly #callbacks: ((snapshot: ports.members.Snapshot) => void)[] = [];
  #snapshot: ports.members.Snapshot = {
    head: schema.head.EMPTY_HEAD,
    config: schema.config.emptyConfig(),
  };
  #headRecord: adapters.headRepository.HeadRecord | null = null;
  #isPolling = false;
  #isPollRequested = false;
  #isClosed = false;
  #cancelPoll: () => void = () => {};
  #stopWatch: () => void = () => {};

  constructor(options: SnapshotManagerOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#catchUp = new CatchUp({
      links: options.links,
      clock: options.clock,
      log: options.log,
      assembler: options.assembler,
      current: () => this.#snapshot,
      adopt: (snapshot) => this.#adopt(snapshot, "peer"),
    });
  }

  current(): ports.members.Snapshot {
    return this.#snapshot;
  }

  onChange(callback: (snapshot: ports.members.Snapshot) => void): void {
    this.#callbacks.push(callback);
  }

  /** The head as last read from or written to the store; null before the first read. */
  headRecord(): adapters.headRepository.HeadRecord | null {
    return this.#headRecord;
  }

  /** Starts to watch and poll the store. */
  start(): void {
    const { store } = this.#options;
    this.#stopWatch = store.watch(schema.storeKeys.HEAD, () => this.pollSoon());
    void this.#poll();
  }

  /** Stops watching and polling. */
  close(): void {
    this.#isClosed = true;
    this.#cancelPoll();
    this.#stopWatch();
  }

  /** Polls the store ahead of schedule, because the head may have changed. */
  pollSoon(): void {
    if (this.#isPolling) {
      this.#isPollRequested = true;
      return;
    }
    this.#schedule(this.#random() * WATCH_JITTER_MS);
  }

  /** Requests the snapshot of a peer that reported a higher revision. */
  catchUpFrom(memberId: string): void {
    this.#catchUp.request(memberId);
  }

  /** Adopts a member list change that this process has just written to the store. */
  adoptPublished(record: adapters.headRepository.HeadRecord): void {
    this.#headRecord = record;
    this.#adopt({ head: record.head, config: this.#snapshot.config }, "store");
  }

  #schedule(delayMs: number): void {
    this.#cancelPoll();
    if (!this.#isClosed) {
      this.#cancelPoll = this.#options.clock.after(delayMs, () => void this.#poll());
    }
  }

  async #poll(): Promise<void> {
    this.#isPolling = true;
    this.#isPollRequested = false;
    const startedAtMs = this.#options.clock.nowMs();
    const [head, hasDrainingVms] = await Promise.all([
      this.#readHead(),
      this.#options.readDrainingVms(),
    ]);
    if (head !== null && hasDrainingVms) {
      const aliveIncarnations = await this.#readAliveKeys();
      this.#options.onRead({ startedAtMs, revision: head.revision, aliveIncarnations });
    }
    this.#isPolling = false;
    const jitter = 1 + POLL_JITTER * (2 * this.#random() - 1);
    const delayMs = this.#isPollRequested
      ? this.#random() * WATCH_JITTER_MS
      : this.#options.headPollMs * jitter;
    this.#schedule(delayMs);
  }

  /** Reads the head, and the configuration if it has changed. Returns null if a read failed. */
  async #readHead(): Promise<schema.head.Head | null> {
    const { headRepository, configRepository } = this.#options;
    const held = this.#headRecord;
    const read = held === null
      ? await headRepository.read()
      : await headRepository.readNewer(held.modRevision);
    if (read.isErr()) {
      return this.#logReadFailure(read.error);
    }
    const record = read.value ?? held!;
    if (record === held) {
      return held.head;
    }
    if (this.#hasConfigOf(record.head)) {
      this.#headRecord = record;
      this.#adopt({ head: record.head, config: this.#snapshot.config }, "store");
      return record.head;
    }
    const whole = await configRepository.read();
    if (whole.isErr()) {
      return this.#logReadFailure(whole.error);
    }
    const { head, config, modRevision } = whole.value;
    this.#headRecord = { head, modRevision };
    this.#adopt({ head, config }, "store");
    return head;
  }

  #hasConfigOf(head: schema.head.Head): boolean {
    return head.revision <= this.#snapshot.head.revision ||
      head.configRevision === this.#snapshot.head.configRevision;
  }

  #logReadFailure(error: schema.errors.JackdawlinkError): null {
    const isUnavailable = error instanceof schema.errors.StoreUnavailableError;
    const { revision } = this.#snapshot.head;
    const message = isUnavailable ? "Failed to read head" : "Rejected invalid configuration";
    this.#options.log[isUnavailable ? "warn" : "error"](message, {
      keptRevision: revision,
      reason: error.message,
    });
    return null;
  }

  async #readAliveKeys(): Promise<ReadonlySet<string> | null> {
    if (!this.#options.needsAliveKeys()) {
      return null;
    }
    const listed = await this.#options.store.list(schema.storeKeys.ALIVE_PREFIX);
    return listed.map((values) => new Set(values.map(({ value }) => value))).unwrapOr(null);
  }

  #adopt(snapshot: ports.members.Snapshot, source: "store" | "peer"): void {
    const { head } = snapshot;
    if (head.revision <= this.#snapshot.head.revision) {
      return;
    }
    this.#snapshot = snapshot;
    this.#options.log.info("Adopted revision", {
      revision: head.revision,
      configRevision: head.configRevision,
      members: head.members.length,
      fences: head.fences.length,
      source,
    });
    this.#callbacks.forEach((callback) => callback(snapshot));
  }
}
