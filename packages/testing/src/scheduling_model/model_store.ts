/**
 * An in-process model of the platform store with revisions, leases, watches and compaction of the
 * history. It can lose answers and delay writes. It reads `Date` and the global timers, which tests
 * replace by fake ones.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import type { SeededRandom } from "../seeded_random.ts";
import { pause } from "../wait_for.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;
type Answer<T> = Promise<Result<T, JackdawlinkError>>;
type StoreItem = ports.scheduling.StoreItem;

const LATENCY_MS = 4;
/** How long a client waits for a lost answer before its call fails. */
const CLIENT_TIMEOUT_MS = 1_000;
const LATE_WRITE_DELAY_MS = [1_000, 6_000] as const;

/** The store rejected a call without any effect. */
export const ModelRefusalError = schema.errors.StoreUnavailableError.subclass("ModelRefusalError");

/** Faults between the store and its clients. */
export interface StoreFaults {
  /** Nodes whose calls the store rejects; `all` matches every node. */
  readonly rejectedNodes: Set<string>;
  /** Probability that the answer to a write is lost. */
  answerLossProbability: number;
  /** Whether a write whose answer is lost takes effect after a delay instead of at once. */
  delaysLostWrites: boolean;
  /** Latency added to each call other than a watch. */
  extraLatencyMs: number;
  /** Whether watches stay without an answer until the client gives up. */
  silencesWatches: boolean;
}

interface Change extends ports.scheduling.StoreChange {
  readonly atMs: number;
}

/** Models one store that is shared by any number of nodes. */
export class ModelStore {
  readonly faults: StoreFaults = {
    rejectedNodes: new Set(),
    answerLossProbability: 0,
    delaysLostWrites: false,
    extraLatencyMs: 0,
    silencesWatches: false,
  };
  /** When the store last rejected a call of any node because it was out for all of them. */
  refusedAtMs = Number.NEGATIVE_INFINITY;
  readonly #random: SeededRandom;
  readonly #items = new Map<string, StoreItem & { leaseId?: number }>();
  readonly #leases = new Map<number, { ttlMs: number; untilMs: number }>();
  #history: Change[] = [];
  #historyStartRevision = 0;
  #revision = 1;
  readonly #changeListeners = new Set<() => void>();

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** The client of one node; `isAlive` turns false when the node's process ends. */
  clientFor(node: string, isAlive: () => boolean): ports.scheduling.SchedulingStore {
    const call = <T>(run: () => T, isWrite = false): Answer<T> =>
      this.#call({ node, isAlive, isWrite }, run);
    return {
      get: (key) => call(() => this.#get(key)),
      list: (prefix) => call(() => this.#list(prefix)),
      watch: (prefix, after, waitMs) => this.#watch({ node, isAlive }, { prefix, after, waitMs }),
      transact: (transaction) => call(() => this.#transact(transaction), true),
      grantLease: (ttlMs) => call(() => this.#grant(ttlMs), true),
      keepLease: (leaseId) => call(() => this.#keep(leaseId)),
      endLease: (leaseId) => call(() => this.#endLease(leaseId), true),
    };
  }

  /** Whether the store rejects every call. */
  get isOut(): boolean {
    return this.faults.rejectedNodes.has("all");
  }

  /** Writes or removes a key without faults, as an operator or a worker would. */
  write(key: string, value: string | undefined): number {
    this.#put(key, value, undefined);
    return this.#revision;
  }

  read(key: string): string | undefined {
    this.#expireLeases();
    return this.#get(key)?.value;
  }

  keys(prefix: string): string[] {
    return this.#list(prefix).items.map(({ key }) => key);
  }

  /** Compacts the history: watches from earlier revisions are answered with `lost`. */
  dropHistory(): void {
    this.#history = [];
    this.#historyStartRevision = this.#revision;
  }

  async #call<T>(
    { node, isAlive, isWrite }: { node: string; isAlive: () => boolean; isWrite: boolean },
    run: () => T,
  ): Answer<T> {
    await pause(LATENCY_MS / 2 + this.faults.extraLatencyMs);
    if (this.#isRejected(node)) {
      await pause(LATENCY_MS / 2);
      return err(new ModelRefusalError("The store refused the call"));
    }
    const isLost = isWrite && this.#random.chance(this.faults.answerLossProbability);
    if (isLost && this.faults.delaysLostWrites) {
      setTimeout(run, this.#random.between(...LATE_WRITE_DELAY_MS));
    } else {
      const value = run();
      if (!isLost) {
        await pause(LATENCY_MS / 2);
        return isAlive() ? ok(value) : neverSettles();
      }
    }
    await pause(CLIENT_TIMEOUT_MS);
    return isAlive()
      ? err(new schema.errors.StoreUnavailableError("The store did not answer"))
      : neverSettles();
  }

  async #watch(
    { node, isAlive }: { node: string; isAlive: () => boolean },
    { prefix, after, waitMs }: { prefix: string; after: number; waitMs: number },
  ): Answer<ports.scheduling.WatchAnswer> {
    const untilMs = Date.now() + waitMs;
    for (;;) {
      await pause(LATENCY_MS / 2);
      if (!isAlive()) {
        return neverSettles();
      }
      if (this.#isRejected(node)) {
        return err(new ModelRefusalError("The store refused the call"));
      }
      if (this.faults.silencesWatches) {
        await pause(untilMs + CLIENT_TIMEOUT_MS - Date.now());
        return err(new schema.errors.StoreUnavailableError("The store did not answer"));
      }
      this.#expireLeases();
      if (after < this.#historyStartRevision) {
        return ok({ kind: "lost" });
      }
      const changes = this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
      if (changes.length > 0 || Date.now() >= untilMs) {
        return ok({ kind: "changes", changes, asOfRevision: this.#revision });
      }
      await Promise.race([this.#nextChange(), pause(Math.min(50, untilMs - Date.now()))]);
    }
  }

  #nextChange(): Promise<void> {
    return new Promise((resolve) => this.#changeListeners.add(resolve));
  }

  #isRejected(node: string): boolean {
    if (this.isOut) {
      this.refusedAtMs = Date.now();
      return true;
    }
    return this.faults.rejectedNodes.has(node);
  }

  #get(key: string): StoreItem | undefined {
    this.#expireLeases();
    return this.#items.get(key);
  }

  #list(prefix: string): { items: StoreItem[]; asOfRevision: number } {
    this.#expireLeases();
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    items.sort((a, b) => (a.key < b.key ? -1 : 1));
    return { items, asOfRevision: this.#revision };
  }

  #transact(
    { conditions, puts, removes }: ports.scheduling.StoreTransaction,
  ): ports.scheduling.TransactionAnswer {
    this.#expireLeases();
    const failed = conditions.filter(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    if (failed.length > 0) {
      const items = conditions.map(({ key }) =>
        this.#items.get(key) ?? { key, value: "", revision: 0, createdRevision: 0 }
      );
      return { kind: "conflict", items };
    }
    if (puts.some(({ leaseId }) => leaseId !== undefined && !this.#leases.has(leaseId))) {
      return { kind: "no-lease" };
    }
    this.#revision += puts.length + removes.length > 0 ? 1 : 0;
    puts.forEach(({ key, value, leaseId }) => this.#set(key, value, leaseId));
    removes.forEach((key) => this.#set(key, undefined, undefined));
    return { kind: "done", revision: this.#revision };
  }

  #grant(ttlMs: number): { leaseId: number; ttlMs: number } {
    const leaseId = this.#leases.size + 1;
    this.#leases.set(leaseId, { ttlMs, untilMs: Date.now() + ttlMs });
    return { leaseId, ttlMs };
  }

  #keep(leaseId: number): boolean {
    this.#expireLeases();
    const lease = this.#leases.get(leaseId);
    if (lease === undefined || lease.untilMs < Date.now()) {
      return false;
    }
    lease.untilMs = Date.now() + lease.ttlMs;
    return true;
  }

  #endLease(leaseId: number): void {
    const lease = this.#leases.get(leaseId);
    if (lease !== undefined) {
      lease.untilMs = 0;
    }
    this.#expireLeases();
  }

  #expireLeases(): void {
    for (const { key, leaseId } of [...this.#items.values()]) {
      const lease = leaseId === undefined ? undefined : this.#leases.get(leaseId);
      if (lease !== undefined && lease.untilMs < Date.now()) {
        this.#put(key, undefined, undefined);
      }
    }
  }

  #put(key: string, value: string | undefined, leaseId: number | undefined): void {
    this.#revision++;
    this.#set(key, value, leaseId);
  }

  #set(key: string, value: string | undefined, leaseId: number | undefined): void {
    const revision = this.#revision;
    if (value === undefined) {
      this.#items.delete(key);
    } else {
      const createdRevision = this.#items.get(key)?.createdRevision ?? revision;
      this.#items.set(key, { key, value, revision, createdRevision, leaseId });
    }
    this.#history.push({ key, value, revision, atMs: Date.now() });
    this.#changeListeners.forEach((wake) => wake());
    this.#changeListeners.clear();
  }
}

/** A promise that never settles: the answer to a process that has ended. */
function neverSettles<T>(): Promise<T> {
  return new Promise(() => {});
}
