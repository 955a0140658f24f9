/**
 * Leader election: the owner is the node that holds the owner record, which is stored under a lease. The
 * revision of the record is the fencing token, and each takeover starts a new term.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { pause, WakeSignal } from "./pause.ts";
import { OWNER_KEY, TERM_KEY } from "./store_keys.ts";

/** A dead owner is replaced after this time. It leaves room for three renewals by a slow store. */
const OWNER_LEASE_MS = 2_000;
const RENEW_INTERVAL_MS = 500;
/** Short, as a handover waits for the second renewal that fails. */
const RENEW_RETRY_INTERVAL_MS = 100;
const RETRY_INTERVAL_MS = 200;
/** A watch can silently stop delivering changes and only its return shows that it still works. */
const WATCH_WAIT_MS = 2_000;
/**
 * A recently started process is unlikely to be restarted next in a rolling restart, so other candidates
 * wait for `LONG_RUNNING_DELAY_MS` longer.
 */
const RECENT_START_MS = 20_000;
const LONG_RUNNING_DELAY_MS = 60;

/** Describes the term that a takeover starts. */
export interface TermStart {
  /** The store revision of the takeover. */
  readonly fencingToken: number;
  readonly term: number;
  /** True if a previous owner may have left tasks running. */
  readonly hadPreviousOwner: boolean;
  /** For how long the store has served this node without a failure. */
  readonly storeServedForMs: number;
  /** True if neither the previous owner nor one before it can give orders any more. */
  readonly hasPreviousOwnerStopped: boolean;
  /** When the store was asked for the takeover, on the clock's upper reading. */
  readonly provenAtMs: number;
}

export interface OwnershipOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly peerAddress: string;
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Spreads the takeover attempts of candidates with the same strength. */
  readonly candidateDelayMs: number;
  /** The scheduling capacity of this node's VM, in cores; stronger nodes try to take over earlier. */
  readonly strength: number;
  readonly onStart: (start: TermStart) => void;
  /** Called when the store has confirmed the ownership as of the time of the request. */
  readonly onProof: (askedAtMs: number) => void;
  readonly onEnd: (reason: string) => void;
}

/** The stored term record, which outlives the lease; `record` is undefined before the first term. */
interface StoredTerm {
  readonly record: schema.scheduling.TermRecord | undefined;
  readonly revision: number;
}

/** The last owner record seen; `record` is undefined and `revision` zero while the key does not exist. */
interface KnownOwner {
  readonly record: schema.scheduling.OwnerRecord | undefined;
  readonly revision: number;
}

/** The lease of the owner record while this node is the owner. */
interface HeldLease {
  readonly leaseId: number;
  readonly fencingToken: number;
  /** How many renewals in a row the store has refused or left without an answer. */
  failedRenewalCount: number;
}

/** Watches the owner record, takes the ownership over when no node holds it, and renews the lease. */
export class Ownership {
  readonly #options: OwnershipOptions;
  readonly #wakeUp = new WakeSignal();
  #knownOwner: KnownOwner = { record: undefined, revision: 0 };
  #hasReadOwner = false;
  #lease: HeldLease | undefined;
  /** The fencing token of the last owner that is known to have ended its term. */
  #releasedToken: number | undefined;
  /** Since when the watch of the owner record has not failed, on the clock's steady reading. */
  #storeServedSinceMs = Number.POSITIVE_INFINITY;
  /** The last term whose owner this node has seen, and since when. */
  #seenTerm = { term: 0, sinceMs: 0 };
  #term = 0;
  #isStopped = false;
  #isCandidate = true;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** The owner's peer address; undefined while there is no owner. */
  get ownerAddress(): string | undefined {
    const { record } = this.#knownOwner;
    return record?.isHeld ? record.peerAddress : undefined;
  }

  /** The fencing token, and how renewals go, while this node is the owner. */
  get held(): Readonly<Omit<HeldLease, "leaseId">> | undefined {
    return this.#lease;
  }

  /** Records that the owner with this token has ended its term, though the store still names it. */
  recordRelease(fencingToken: number): void {
    this.#releasedToken = fencingToken;
    this.#wakeUp.wake();
  }

  /** Starts the loops that watch the owner record, take over and renew the lease. */
  start(): void {
    void this.#followOwner();
    void this.#runElection();
    void this.#renewLease();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wakeUp.wake();
  }

  /** Ends the ownership because another process has shown a higher fencing token. */
  resign(reason: string): void {
    this.#endOwnership(reason);
  }

  /** Stops being a candidate, and releases the ownership if this node holds it. */
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
    this.#options.log.info("Ownership released", {
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
      this.#storeServedSinceMs = this.#options.clock.steadyMs();
      let after = item.value?.revision ?? 0;
      for (let isWatching = true; isWatching && !this.#isStopped;) {
        const watched = await store.watch(OWNER_KEY, after, WATCH_WAIT_MS);
        if (watched.isErr() || watched.value.kind === "lost") {
          log.debug("Watch of the owner record ended", {
            reason: watched.isErr() ? watched.error.message : "history dropped",
          });
          isWatching = false;
          this.#storeServedSinceMs = Number.POSITIVE_INFINITY;
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
      log.error("Could not decode the owner record", { revision, reason: decoded.error.message });
    }
    const record = decoded?.isOk() ? decoded.value : undefined;
    this.#hasReadOwner = true;
    this.#knownOwner = { record, revision: value === undefined ? 0 : revision };
    if (record !== undefined && record.term > this.#seenTerm.term) {
      this.#seenTerm = { term: record.term, sinceMs: this.#options.clock.steadyMs() };
    }
    log.info("Owner record changed", {
      node: record?.node,
      held: record?.isHeld,
      term: record?.term,
      revision,
    });
    const held = this.#lease;
    if (held !== undefined && (record === undefined || revision > held.fencingToken)) {
      this.#endOwnership(
        record === undefined ? "the lease has expired" : `${record.node} has taken over`,
      );
    }
    this.#wakeUp.wake();
  }

  /** Whether the record is missing, released, or held by a previous incarnation of this node. */
  #isOwnerFree(): boolean {
    const { record } = this.#knownOwner;
    const { node, incarnation } = this.#options;
    return this.#hasReadOwner && this.#lease === undefined &&
      (record === undefined || this.#hasOwnerStopped() ||
        (record.node === node && record.incarnation !== incarnation));
  }

  /** Whether the owner that the record names has ended its term itself. */
  #hasOwnerStopped(): boolean {
    const { record, revision } = this.#knownOwner;
    return record !== undefined && (!record.isHeld || revision === this.#releasedToken);
  }

  /** Whether the last term has lasted so long that no proof of an owner before it is still valid. */
  #isEarlierOwnerOver(): boolean {
    const { record } = this.#knownOwner;
    const { term, sinceMs } = this.#seenTerm;
    return record?.term === term &&
      this.#options.clock.steadyMs() - sinceMs >=
        policy.scheduling.ownershipProof.PROOF_VALIDITY_MS;
  }

  /** Takes the ownership over whenever it is free, after this candidate's delay. */
  async #runElection(): Promise<void> {
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
    const isRecentStart = this.#knownOwner.record !== undefined && clock.nowMs() < RECENT_START_MS;
    return candidateDelayMs + (isRecentStart ? 0 : LONG_RUNNING_DELAY_MS) +
      policy.scheduling.ownerEligibility.takeoverDelayMs(strength, record?.strongestOwner);
  }

  async #readLastTerm(): Promise<StoredTerm | undefined> {
    const { store, log } = this.#options;
    const item = await store.get(TERM_KEY);
    if (item.isErr()) {
      log.info("Could not read the last term", { reason: item.error.message });
      return undefined;
    }
    if (item.value === undefined) {
      return { record: undefined, revision: 0 };
    }
    const record = schema.fleet.parseRecord(schema.scheduling.termRecordSchema, item.value);
    if (record.isErr()) {
      log.error("Could not decode the term record", { reason: record.error.message });
      return undefined;
    }
    return { record: record.value, revision: item.value.revision };
  }

  async #tryTakeover(lastTerm: StoredTerm): Promise<void> {
    const { store, clock, log, strength, onStart } = this.#options;
    const previous = this.#knownOwner;
    const hasPreviousOwnerStopped = this.#hasOwnerStopped() && this.#isEarlierOwnerOver();
    const lease = await store.grantLease(OWNER_LEASE_MS);
    if (lease.isErr()) {
      log.info("Could not get a lease for the ownership", { reason: lease.error.message });
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
        { key: OWNER_KEY, revision: previous.revision },
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
      log.info("Could not take the ownership", {
        reason: answer.isErr() ? answer.error.message : answer.value.kind,
      });
      await store.endLease(lease.value.leaseId);
      return;
    }
    const fencingToken = answer.value.revision;
    this.#knownOwner = { record: this.#buildOwnerRecord(term), revision: fencingToken };
    this.#term = term;
    this.#lease = { leaseId: lease.value.leaseId, fencingToken, failedRenewalCount: 0 };
    log.info("Ownership taken", { token: fencingToken, strength, ...termRecord });
    onStart({
      fencingToken,
      term,
      hadPreviousOwner: term > 1,
      storeServedForMs: clock.steadyMs() - this.#storeServedSinceMs,
      hasPreviousOwnerStopped,
      provenAtMs: askedAtMs,
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
      const renewed = await store.keepLease(held.leaseId);
      if (this.#lease === held) {
        if (renewed.isOk() && renewed.value) {
          held.failedRenewalCount = 0;
          onProof(askedAtMs);
        } else if (renewed.isOk()) {
          this.#endOwnership("the lease has expired");
        } else {
          held.failedRenewalCount++;
        }
      }
      await pause(renewed.isOk() ? RENEW_INTERVAL_MS : RENEW_RETRY_INTERVAL_MS);
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
