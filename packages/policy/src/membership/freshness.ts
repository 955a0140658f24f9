/**
 * Freshness: whether the revision that a process holds is up to date within the staleness bound
 * `freshForMs`, so that the process may act on it.
 *
 * A process is fresh if, within the last `freshForMs`, it read the store, a peer read the store and
 * reported that in a heartbeat, or the process had contact with a majority of the listed members,
 * one of which read the store within `maxStoreOutageMs`. All times are in milliseconds of the
 * process's own clock.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";

/** The time limits of the freshness rule. */
export interface FreshnessRules {
  /** The staleness bound. */
  readonly freshForMs: number;
  /** How long contact with a majority suffices after the last store read of one of its members. */
  readonly maxStoreOutageMs: number;
}

/** A read of the head by this process. `startedAtMs` is the time before the read was sent. */
export interface OwnRead {
  readonly startedAtMs: number;
  readonly revision: number;
}

/** The contents of a peer's heartbeat that count for freshness. */
export interface ReceivedHeartbeat {
  readonly memberId: string;
  readonly incarnation: string;
  readonly revision: number;
  /** The timestamp of this process that the peer echoed; null if it echoed none. */
  readonly echoedAtMs: number | null;
  /** The age of the peer's last store read when it sent the heartbeat; null if it has made none. */
  readonly storeReadAgeMs: number | null;
}

/** The kind of evidence that makes a process fresh. */
export type FreshnessSource = "store" | "peerRead" | "majority";

/** The time, the member list, and the identity of the process to check. */
export interface FreshnessQuery {
  readonly nowMs: number;
  readonly members: readonly head.Member[];
  readonly memberId: string;
  readonly incarnation: string;
}

/** A read or contact. It counts only once the process holds the revision that came with it. */
interface Evidence {
  readonly atMs: number;
  readonly revision: number;
}

/**
 * Keeps the latest evidence that already counts, and the newest evidence, which may not count until
 * the process holds its revision.
 */
class EvidenceLog {
  #countedAtMs = -Infinity;
  #newest: Evidence | null = null;

  add(evidence: Evidence, heldRevision: number): void {
    this.#countedAtMs = this.latestAtMs(heldRevision);
    if (this.#newest === null || evidence.atMs >= this.#newest.atMs) {
      this.#newest = evidence;
    }
  }

  latestAtMs(heldRevision: number): number {
    if (this.#newest === null || this.#newest.revision > heldRevision) {
      return this.#countedAtMs;
    }
    return Math.max(this.#countedAtMs, this.#newest.atMs);
  }
}

/** The contacts with one peer's incarnation and the store reads that it reported. */
interface PeerEvidence {
  readonly incarnation: string;
  readonly contacts: EvidenceLog;
  readonly reads: EvidenceLog;
}

/** Returns how many of `memberCount` members are a majority. */
export function majorityOf(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** Collects evidence and decides whether the process is fresh. */
export class Freshness {
  readonly #rules: FreshnessRules;
  readonly #ownReads = new EvidenceLog();
  readonly #peers = new Map<string, PeerEvidence>();
  #heldRevision = 0;

  constructor(rules: FreshnessRules) {
    this.#rules = rules;
  }

  /**
   * Sets the revision that the process holds; evidence with a higher revision does not count yet.
   */
  setHeldRevision(revision: number): void {
    this.#heldRevision = Math.max(this.#heldRevision, revision);
  }

  recordOwnRead(read: OwnRead): void {
    this.#ownReads.add({ atMs: read.startedAtMs, revision: read.revision }, this.#heldRevision);
  }

  /**
   * Records a peer's heartbeat. It counts from the echoed time, which is before the peer sent it,
   * so that delays in the network never make evidence look newer than it is.
   */
  recordHeartbeat(heartbeat: ReceivedHeartbeat): void {
    if (heartbeat.echoedAtMs === null) {
      return;
    }
    const { echoedAtMs, revision, storeReadAgeMs } = heartbeat;
    const peer = this.#peerOf(heartbeat.memberId, heartbeat.incarnation);
    peer.contacts.add({ atMs: echoedAtMs, revision }, this.#heldRevision);
    if (storeReadAgeMs !== null) {
      peer.reads.add({ atMs: echoedAtMs - storeReadAgeMs, revision }, this.#heldRevision);
    }
  }

  /** When the last own read that counts was started; null if there is none. */
  lastOwnReadAtMs(): number | null {
    const atMs = this.#ownReads.latestAtMs(this.#heldRevision);
    return atMs === -Infinity ? null : atMs;
  }

  /** The echoed time of the last heartbeat of an incarnation that counts; null if there is none. */
  lastContactAtMs(memberId: string, incarnation: string): number | null {
    const peer = this.#peers.get(memberId);
    if (peer === undefined || peer.incarnation !== incarnation) {
      return null;
    }
    const atMs = peer.contacts.latestAtMs(this.#heldRevision);
    return atMs === -Infinity ? null : atMs;
  }

  /**
   * The evidence that makes the process fresh; null if it is not fresh, or its incarnation
   * unlisted.
   */
  source(query: FreshnessQuery): FreshnessSource | null {
    const isListed = query.members.some((member) =>
      member.memberId === query.memberId && member.incarnation === query.incarnation
    );
    if (!isListed) {
      return null;
    }
    const sinceMs = query.nowMs - this.#rules.freshForMs;
    if (this.#ownReads.latestAtMs(this.#heldRevision) >= sinceMs) {
      return "store";
    }
    const others = query.members.filter((member) => member.memberId !== query.memberId);
    if (this.#latestReadAtMs(others) >= sinceMs) {
      return "peerRead";
    }
    return this.#hasMajorityContact(others, query.nowMs) ? "majority" : null;
  }

  #hasMajorityContact(others: readonly head.Member[], nowMs: number): boolean {
    const sinceMs = nowMs - this.#rules.freshForMs;
    const contacted = others.filter((member) => this.#contactAtMs(member) >= sinceMs);
    if (contacted.length + 1 < majorityOf(others.length + 1)) {
      return false;
    }
    const lastReadAtMs = Math.max(
      this.#ownReads.latestAtMs(this.#heldRevision),
      this.#latestReadAtMs(contacted),
    );
    return lastReadAtMs >= nowMs - this.#rules.maxStoreOutageMs;
  }

  #contactAtMs(member: head.Member): number {
    return this.lastContactAtMs(member.memberId, member.incarnation) ?? -Infinity;
  }

  #latestReadAtMs(members: readonly head.Member[]): number {
    const times = members.map((member) => {
      const peer = this.#peers.get(member.memberId);
      return peer?.incarnation === member.incarnation
        ? peer.reads.latestAtMs(this.#heldRevision)
        : -Infinity;
    });
    return Math.max(-Infinity, ...times);
  }

  #peerOf(memberId: string, incarnation: string): PeerEvidence {
    const known = this.#peers.get(memberId);
    if (known?.incarnation === incarnation) {
      return known;
    }
    const peer = { incarnation, contacts: new EvidenceLog(), reads: new EvidenceLog() };
    this.#peers.set(memberId, peer);
    return peer;
  }
}
