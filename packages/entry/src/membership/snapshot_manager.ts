/**
 * Holds the head with the configuration, and follows both: by polling the store, by its watch as a
 * hint, and from peers that hold a higher revision.
 *
 * @module
 */
import type * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { CatchUp } from "./catch_up.ts";

/** What a {@link SnapshotManager} is made of. */
export interface SnapshotManagerOptions {
  readonly store: ports.store.Store;
  readonly headRepository: adapters.headRepository.HeadRepository;
  readonly configRepository: adapters.configRepository.ConfigRepository;
  /** Holds the chunks of the configuration for the repository and for peers. */
  readonly assembler: policy.configAssembler.ConfigAssembler;
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly headPollMs: number;
  /** A random source between 0 and 1, for jitter. */
  readonly random?: () => number;
  /** Whether the next poll should also read the lease keys of the members. */
  readonly needsAliveKeys: () => boolean;
  /** Reads the list of draining VMs too; false where the store could not be read. */
  readonly readDrainingVms: () => Promise<boolean>;
  readonly onRead: (read: policy.memberState.StoreRead) => void;
}

/** Polls are this much earlier or later than planned, as a fraction of the interval. */
const POLL_JITTER = 0.2;
/** Processes that a watch wakes at once read the store within this time. */
const WATCH_JITTER_MS = 30;

/** Follows the head record; moves only to a higher revision. */
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

  /** The head as last read from the store or written to it; null before the first read. */
  headRecord(): adapters.headRepository.HeadRecord | null {
    return this.#headRecord;
  }

  start(): void {
    const { store } = this.#options;
    this.#stopWatch = store.watch(schema.storeKeys.HEAD, () => this.pollSoon());
    void this.#poll();
  }

  close(): void {
    this.#isClosed = true;
    this.#cancelPoll();
    this.#stopWatch();
  }

  /** Reads the store soon, because the head may have moved. */
  pollSoon(): void {
    if (this.#isPolling) {
      this.#isPollRequested = true;
      return;
    }
    this.#schedule(this.#random() * WATCH_JITTER_MS);
  }

  /** Asks a peer that reported a higher revision for what it holds. */
  catchUpFrom(memberId: string): void {
    this.#catchUp.request(memberId);
  }

  /** Takes over a change of the member list that this process has just published. */
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

  /** Reads the head, and the configuration where it has changed; null where that failed. */
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
    const message = isUnavailable ? "Head not read" : "Invalid configuration refused";
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
    this.#options.log.info("Revision taken over", {
      revision: head.revision,
      configRevision: head.configRevision,
      members: head.members.length,
      fences: head.fences.length,
      source,
    });
    this.#callbacks.forEach((callback) => callback(snapshot));
  }
}
