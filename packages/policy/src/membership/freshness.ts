/**
 * Freshness: whether a process may act on the revision that it holds.
 *
 * A process is fresh while, within `freshForMs`, it read the store, heard of a peer's read, or heard a
 * majority of the listed members. All times are of the process's own clock, in milliseconds.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";

/** The times that the rule depends on. */
export interface FreshnessRules {
  readonly freshForMs: number;
  /** How long a majority counts after the last read of the store that one of it made. */
  readonly maxStoreOutageMs: number;
}

/** One read of the head. `startedAtMs` is the time before the read was sent. */
export interface OwnRead {
  readonly startedAtMs: number;
  readonly revision: number;
}

/** What one heartbeat tells. */
export interface ReceivedHeartbeat {
  readonly memberId: string;
  readonly incarnation: string;
  readonly revision: number;
  /** The own timestamp that the peer echoed; null where it echoed none of this process. */
  readonly echoedAtMs: number | null;
  /** How old the peer's last own read was when it sent this; null if it has none. */
  readonly storeReadAgeMs: number | null;
}

/** Why a process is fresh. */
export type FreshnessSource = "store" | "peerRead" | "majority";

/** The question: who is listed, and who asks. */
export interface FreshnessQuery {
  readonly nowMs: number;
  readonly members: readonly head.Member[];
  readonly memberId: string;
  readonly incarnation: string;
}

/** Evidence that counts only once the process holds the revision seen with it. */
interface Evidence {
  readonly atMs: number;
  readonly revision: number;
}

/** The latest evidence that already counts, and the newest, which may wait for its revision. */
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

/** What is known of one peer's incarnation. */
interface PeerEvidence {
  readonly incarnation: string;
  readonly contacts: EvidenceLog;
  readonly reads: EvidenceLog;
}

/** Returns how many of `memberCount` members are a majority. */
export function majorityOf(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** Collects evidence and answers whether the process is fresh. */
export class Freshness {
  readonly #rules: FreshnessRules;
  readonly #ownReads = new EvidenceLog();
  readonly #peers = new Map<string, PeerEvidence>();
  #heldRevision = 0;

  constructor(rules: FreshnessRules) {
    this.#rules = rules;
  }

  /** Tells which revision the process holds; evidence seen with a higher one does not count yet. */
  setHeldRevision(revision: number): void {
    this.#heldRevision = Math.max(this.#heldRevision, revision);
  }

  recordOwnRead(read: OwnRead): void {
    this.#ownReads.add({ atMs: read.startedAtMs, revision: read.revision }, this.#heldRevision);
  }

  /** Takes in a heartbeat; it counts at the echoed time, which lies before it was sent. */
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

  /** The time of the last own read that counts; null before the first. */
  lastOwnReadAtMs(): number | null {
    const atMs = this.#ownReads.latestAtMs(this.#heldRevision);
    return atMs === -Infinity ? null : atMs;
  }

  /** The time at which a listed incarnation last counted as heard; null where it never did. */
  lastContactAtMs(memberId: string, incarnation: string): number | null {
    const peer = this.#peers.get(memberId);
    if (peer === undefined || peer.incarnation !== incarnation) {
      return null;
    }
    const atMs = peer.contacts.latestAtMs(this.#heldRevision);
    return atMs === -Infinity ? null : atMs;
  }

  /** Why the process is fresh; null where it isn't, or isn't listed under its incarnation. */
  source(question: FreshnessQuery): FreshnessSource | null {
    const isListed = question.members.some((member) =>
      member.memberId === question.memberId && member.incarnation === question.incarnation
    );
    if (!isListed) {
      return null;
    }
    const sinceMs = question.nowMs - this.#rules.freshForMs;
    if (this.#ownReads.latestAtMs(this.#heldRevision) >= sinceMs) {
      return "store";
    }
    const others = question.members.filter((member) => member.memberId !== question.memberId);
    if (this.#latestReadAtMs(others) >= sinceMs) {
      return "peerRead";
    }
    return this.#hasMajorityContact(others, question.nowMs) ? "majority" : null;
  }

  #hasMajorityContact(others: readonly head.Member[], nowMs: number): boolean {
    const sinceMs = nowMs - this.#rules.freshForMs;
    const heard = others.filter((member) => this.#contactAtMs(member) >= sinceMs);
    if (heard.length + 1 < majorityOf(others.length + 1)) {
      return false;
    }
    const lastReadAtMs = Math.max(
      this.#ownReads.latestAtMs(this.#heldRevision),
      this.#latestReadAtMs(heard),
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
