/**
 * Who owns the scheduling: one record in the store under a lease. Its revision is the fencing token.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { pause, WakeSignal } from "./pause.ts";
import { OWNER_KEY, TERM_KEY } from "./store_keys.ts";

/** A dead owner is replaced after this time; a slow store still answers three renewals within it. */
const OWNER_LEASE_MS = 2_000;
const RENEW_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 200;
/** A watch may fall silent for good, so that only its return shows that it still hears. */
const WATCH_WAIT_MS = 2_000;
/** A process that has started anew is unlikely to be the next in a rolling restart, so it goes first. */
const RECENT_START_MS = 20_000;
const LONG_RUNNING_DELAY_MS = 60;

/** An owner's term, from its takeover on. */
export interface TermStart {
  /** The store revision of the takeover. */
  readonly fencingToken: number;
  readonly term: number;
  /** True where an earlier owner may have left something running. */
  readonly hadPreviousOwner: boolean;
}

export interface OwnershipOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Staggers candidates of the same strength. */
  readonly candidateDelayMs: number;
  /** What an owner on this VM can do, in cores. */
  readonly strength: number;
  readonly onStart: (start: TermStart) => void;
  /** The store has confirmed the ownership as of that time. */
  readonly onProof: (askedAtMs: number) => void;
  readonly onEnd: (reason: string) => void;
}

interface StoredTerm {
  readonly record: schema.scheduling.TermRecord | undefined;
  readonly revision: number;
}

interface KnownOwner {
  readonly record: schema.scheduling.OwnerRecord | undefined;
  readonly revision: number;
}

/** Follows the owner's record, and takes it over when it is free. */
export class Ownership {
  readonly #options: OwnershipOptions;
  readonly #wakeUp = new WakeSignal();
  #knownOwner: KnownOwner = { record: undefined, revision: 0 };
  #hasReadOwner = false;
  #lease: { readonly leaseId: number; readonly fencingToken: number } | undefined;
  #term = 0;
  #isStopped = false;
  #isCandidate = true;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** The owner's peer address; undefined while there is none. */
  get ownerAddress(): string | undefined {
    const { record } = this.#knownOwner;
    return record?.isHeld ? record.peerAddress : undefined;
  }

  /** Starts the loops that follow, take over and renew. */
  start(): void {
    void this.#followOwner();
    void this.#runTakeovers();
    void this.#renewLease();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wakeUp.wake();
  }

  /** Another process has shown a higher token. */
  resign(reason: string): void {
    this.#endOwnership(reason);
  }

  /** Does not take over any more, and gives the role up if it is held. */
  async release(): Promise<void> {
    this.#isCandidate = false;
    const held = this.#lease;
    if (held === undefined) {
      return;
    }
    this.#endOwnership("the process is stopping");
    const released = { ...this.#buildOwnerRecord(this.#term), isHeld: false };
    const answer = await this.#options.store.transact({
      conditions: [{ key: OWNER_KEY, revision: held.fencingToken }],
      puts: [{ key: OWNER_KEY, value: JSON.stringify(released) }],
      removes: [],
    });
    this.#options.log.info("Ownership given up", {
      token: held.fencingToken,
      stored: answer.isOk() && answer.value.kind === "done",
    });
  }

  async #followOwner(): Promise<void> {
    const { store, log } = this.#options;
    while (!this.#isStopped) {
      const item = await store.get(OWNER_KEY);
      if (item.isErr()) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      this.#applyOwnerRecord(item.value?.value, item.value?.revision ?? 0);
      let after = item.value?.revision ?? 0;
      for (let isWatching = true; isWatching && !this.#isStopped;) {
        const watched = await store.watch(OWNER_KEY, after, WATCH_WAIT_MS);
        if (watched.isErr() || watched.value.kind === "lost") {
          log.debug("Watch of the owner ended", {
            reason: watched.isErr() ? watched.error.message : "history dropped",
          });
          isWatching = false;
          await pause(RETRY_INTERVAL_MS);
          continue;
        }
        const { changes, asOfRevision } = watched.value;
        changes.forEach((change) => this.#applyOwnerRecord(change.value, change.revision));
        after = asOfRevision;
      }
    }
  }

  #applyOwnerRecord(value: string | undefined, revision: number): void {
    const { log } = this.#options;
    if (this.#hasReadOwner && revision !== 0 && revision <= this.#knownOwner.revision) {
      return;
    }
    const decoded = value === undefined
      ? undefined
      : schema.fleet.parseRecord(schema.scheduling.ownerRecordSchema, { key: OWNER_KEY, value });
    if (decoded?.isErr()) {
      log.error("Owner record not understood", { revision, reason: decoded.error.message });
    }
    const record = decoded?.isOk() ? decoded.value : undefined;
    this.#hasReadOwner = true;
    this.#knownOwner = { record, revision: value === undefined ? 0 : revision };
    log.info("Owner is", {
      node: record?.node,
      held: record?.isHeld,
      term: record?.term,
      revision,
    });
    const held = this.#lease;
    if (held !== undefined && (record === undefined || revision > held.fencingToken)) {
      this.#endOwnership(
        record === undefined ? "the lease has ended" : `${record.node} has taken over`,
      );
    }
    this.#wakeUp.wake();
  }

  /** Whether the record is free: gone, given up, or left by an earlier life of this process. */
  #isOwnerFree(): boolean {
    const { record } = this.#knownOwner;
    const { node, incarnation } = this.#options;
    return this.#hasReadOwner && this.#lease === undefined &&
      (record === undefined || !record.isHeld ||
        (record.node === node && record.incarnation !== incarnation));
  }

  async #runTakeovers(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wakeUp.wait(1_000);
      if (!this.#isOwnerFree() || !this.#isCandidate) {
        continue;
      }
      const lastTerm = await this.#readLastTerm();
      if (lastTerm === undefined) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      await pause(this.#takeoverDelayMs(lastTerm));
      if (this.#isOwnerFree() && this.#isCandidate) {
        await this.#tryTakeover(lastTerm);
      }
    }
  }

  #takeoverDelayMs({ record }: StoredTerm): number {
    const { clock, candidateDelayMs, strength } = this.#options;
    const isYoung = this.#knownOwner.record !== undefined && clock.nowMs() < RECENT_START_MS;
    return candidateDelayMs + (isYoung ? 0 : LONG_RUNNING_DELAY_MS) +
      policy.scheduling.ownerEligibility.takeoverDelayMs(strength, record?.strongestOwner);
  }

  async #readLastTerm(): Promise<StoredTerm | undefined> {
    const { store, log } = this.#options;
    const item = await store.get(TERM_KEY);
    if (item.isErr()) {
      log.info("The last term is not known", { reason: item.error.message });
      return undefined;
    }
    if (item.value === undefined) {
      return { record: undefined, revision: 0 };
    }
    const record = schema.fleet.parseRecord(schema.scheduling.termRecordSchema, item.value);
    if (record.isErr()) {
      log.error("Term record not understood", { reason: record.error.message });
      return undefined;
    }
    return { record: record.value, revision: item.value.revision };
  }

  async #tryTakeover(lastTerm: StoredTerm): Promise<void> {
    const { store, clock, log, strength, onStart, onProof } = this.#options;
    const before = this.#knownOwner;
    const lease = await store.grantLease(OWNER_LEASE_MS);
    if (lease.isErr()) {
      log.info("No lease for the ownership", { reason: lease.error.message });
      return pause(RETRY_INTERVAL_MS);
    }
    const term = (lastTerm.record?.term ?? 0) + 1;
    const termRecord: schema.scheduling.TermRecord = {
      term,
      strongestOwner: Math.max(strength, lastTerm.record?.strongestOwner ?? 0),
    };
    const askedAtMs = clock.nowMs();
    const answer = await store.transact({
      conditions: [
        { key: OWNER_KEY, revision: before.revision },
        { key: TERM_KEY, revision: lastTerm.revision },
      ],
      puts: [
        {
          key: OWNER_KEY,
          value: JSON.stringify(this.#buildOwnerRecord(term)),
          leaseId: lease.value.leaseId,
        },
        { key: TERM_KEY, value: JSON.stringify(termRecord) },
      ],
      removes: [],
    });
    if (answer.isErr() || answer.value.kind !== "done") {
      log.info("Ownership not taken", {
        reason: answer.isErr() ? answer.error.message : answer.value.kind,
      });
      await store.endLease(lease.value.leaseId);
      return;
    }
    const fencingToken = answer.value.revision;
    this.#knownOwner = { record: this.#buildOwnerRecord(term), revision: fencingToken };
    this.#term = term;
    this.#lease = { leaseId: lease.value.leaseId, fencingToken };
    log.info("Ownership taken", { token: fencingToken, strength, ...termRecord });
    onProof(askedAtMs);
    onStart({
      fencingToken,
      term,
      hadPreviousOwner: term > 1,
    });
  }

  async #renewLease(): Promise<void> {
    const { store, clock, onProof } = this.#options;
    while (!this.#isStopped) {
      const held = this.#lease;
      if (held === undefined) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      const askedAtMs = clock.nowMs();
      const kept = await store.keepLease(held.leaseId);
      if (this.#lease === held) {
        if (kept.isOk() && kept.value) {
          onProof(askedAtMs);
        } else if (kept.isOk()) {
          this.#endOwnership("the lease has ended");
        }
      }
      await pause(kept.isOk() ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  #endOwnership(reason: string): void {
    if (this.#lease !== undefined) {
      this.#options.log.info("Ownership ended", { token: this.#lease.fencingToken, reason });
      this.#lease = undefined;
      this.#options.onEnd(reason);
    }
  }

  #buildOwnerRecord(term: number): schema.scheduling.OwnerRecord {
    const { node, incarnation, peerAddress } = this.#options;
    return { node, incarnation, peerAddress, term, isHeld: true };
  }
}
