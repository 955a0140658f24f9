/**
 * Who owns the scheduling: one record in the store under a lease. Its revision is the fencing token.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { pause, WakeUp } from "./pause.ts";
import { OWNER_KEY, TERM_KEY } from "./store_keys.ts";

/** A dead owner is replaced after this time; a slow store still answers three renewals within it. */
const OWNER_LEASE_MS = 2_000;
const RENEW_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 200;
/** A watch may fall silent for good, so that only its return shows that it still hears. */
const WATCH_WAIT_MS = 2_000;
/** A process that has started anew is unlikely to be the next in a rolling restart, so it goes first. */
const YOUNG_PROCESS_MS = 20_000;
const OLD_PROCESS_DELAY_MS = 60;

/** An owner's term, from its takeover on. */
export interface TermStart {
  /** The store revision of the takeover. */
  readonly fencingToken: number;
  readonly term: number;
  /** True where an earlier owner may have left something running. */
  readonly hadOwner: boolean;
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

interface LastTerm {
  readonly record: schema.scheduling.TermRecord | undefined;
  readonly revision: number;
}

interface Known {
  readonly record: schema.scheduling.OwnerRecord | undefined;
  readonly revision: number;
}

/** Follows the owner's record, and takes it over when it is free. */
export class Ownership {
  readonly #options: OwnershipOptions;
  readonly #wakeUp = new WakeUp();
  #known: Known = { record: undefined, revision: 0 };
  #isKnown = false;
  #held: { readonly leaseId: number; readonly fencingToken: number } | undefined;
  #term = 0;
  #isStopped = false;
  #isCandidate = true;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** The owner's peer address; undefined while there is none. */
  get ownerAddress(): string | undefined {
    const { record } = this.#known;
    return record?.isHeld ? record.peerAddress : undefined;
  }

  /** Starts the loops that follow, take over and renew. */
  start(): void {
    void this.#follow();
    void this.#takeOver();
    void this.#renew();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wakeUp.wake();
  }

  /** Another process has shown a higher token. */
  resign(reason: string): void {
    this.#end(reason);
  }

  /** Does not take over any more, and gives the role up if it is held. */
  async release(): Promise<void> {
    this.#isCandidate = false;
    const held = this.#held;
    if (held === undefined) {
      return;
    }
    this.#end("the process is stopping");
    const released = { ...this.#record(this.#term), isHeld: false };
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

  async #follow(): Promise<void> {
    const { store, log } = this.#options;
    while (!this.#isStopped) {
      const item = await store.get(OWNER_KEY);
      if (item.isErr()) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      this.#learn(item.value?.value, item.value?.revision ?? 0);
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
        changes.forEach((change) => this.#learn(change.value, change.revision));
        after = asOfRevision;
      }
    }
  }

  #learn(value: string | undefined, revision: number): void {
    const { log } = this.#options;
    if (this.#isKnown && revision !== 0 && revision <= this.#known.revision) {
      return;
    }
    const decoded = value === undefined
      ? undefined
      : schema.fleet.parseRecord(schema.scheduling.ownerRecordSchema, { key: OWNER_KEY, value });
    if (decoded?.isErr()) {
      log.error("Owner record not understood", { revision, reason: decoded.error.message });
    }
    const record = decoded?.isOk() ? decoded.value : undefined;
    this.#isKnown = true;
    this.#known = { record, revision: value === undefined ? 0 : revision };
    log.info("Owner is", {
      node: record?.node,
      held: record?.isHeld,
      term: record?.term,
      revision,
    });
    const held = this.#held;
    if (held !== undefined && (record === undefined || revision > held.fencingToken)) {
      this.#end(record === undefined ? "the lease has ended" : `${record.node} has taken over`);
    }
    this.#wakeUp.wake();
  }

  /** Whether the record is free: gone, given up, or left by an earlier life of this process. */
  #isFree(): boolean {
    const { record } = this.#known;
    const { node, incarnation } = this.#options;
    return this.#isKnown && this.#held === undefined &&
      (record === undefined || !record.isHeld ||
        (record.node === node && record.incarnation !== incarnation));
  }

  async #takeOver(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wakeUp.wait(1_000);
      if (!this.#isFree() || !this.#isCandidate) {
        continue;
      }
      const lastTerm = await this.#readLastTerm();
      if (lastTerm === undefined) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      await pause(this.#delayMs(lastTerm));
      if (this.#isFree() && this.#isCandidate) {
        await this.#tryTakeOver(lastTerm);
      }
    }
  }

  #delayMs({ record }: LastTerm): number {
    const { clock, candidateDelayMs, strength } = this.#options;
    const isYoung = this.#known.record !== undefined && clock.nowMs() < YOUNG_PROCESS_MS;
    return candidateDelayMs + (isYoung ? 0 : OLD_PROCESS_DELAY_MS) +
      policy.scheduling.ownerEligibility.takeoverDelayMs(strength, record?.strongestOwner);
  }

  async #readLastTerm(): Promise<LastTerm | undefined> {
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

  async #tryTakeOver(lastTerm: LastTerm): Promise<void> {
    const { store, clock, log, strength, onStart, onProof } = this.#options;
    const before = this.#known;
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
          value: JSON.stringify(this.#record(term)),
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
    this.#known = { record: this.#record(term), revision: fencingToken };
    this.#term = term;
    this.#held = { leaseId: lease.value.leaseId, fencingToken };
    log.info("Ownership taken", { token: fencingToken, strength, ...termRecord });
    onProof(askedAtMs);
    onStart({
      fencingToken,
      term,
      hadOwner: term > 1,
    });
  }

  async #renew(): Promise<void> {
    const { store, clock, onProof } = this.#options;
    while (!this.#isStopped) {
      const held = this.#held;
      if (held === undefined) {
        await pause(RETRY_INTERVAL_MS);
        continue;
      }
      const askedAtMs = clock.nowMs();
      const kept = await store.keepLease(held.leaseId);
      if (this.#held === held) {
        if (kept.isOk() && kept.value) {
          onProof(askedAtMs);
        } else if (kept.isOk()) {
          this.#end("the lease has ended");
        }
      }
      await pause(kept.isOk() ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  #end(reason: string): void {
    if (this.#held !== undefined) {
      this.#options.log.info("Ownership ended", { token: this.#held.fencingToken, reason });
      this.#held = undefined;
      this.#options.onEnd(reason);
    }
  }

  #record(term: number): schema.scheduling.OwnerRecord {
    const { node, incarnation, peerAddress } = this.#options;
    return { node, incarnation, peerAddress, term, isHeld: true };
  }
}
