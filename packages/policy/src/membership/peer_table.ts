/**
 * Stores the latest heartbeat of each peer, by member id. A peer is reachable by the upper reading of the
 * clock and unreachable by the steady one; after a jump of the wall clock it may be neither.
 *
 * @module
 */
import type { head, peer } from "@jackdawlink/schema";

/** The latest heartbeat of one peer. */
interface PeerEntry {
  readonly incarnation: string;
  readonly revision: number;
  readonly sentAtMs: number;
  /** The latest timestamp of this process that the peer echoed; null before the first echo. */
  readonly lastContactAtMs: number | null;
  /** The same on the steady reading. */
  readonly lastContactSteadyMs: number | null;
  readonly unreachableMemberIds: readonly string[];
}

/** Keeps the latest heartbeat of each peer. */
export class PeerTable {
  readonly #suspectAfterMs: number;
  readonly #entries = new Map<string, PeerEntry>();
  /** Since when this process has expected heartbeats of each listed incarnation. */
  readonly #expectedSinceMs = new Map<string, number>();

  constructor(options: { readonly suspectAfterMs: number }) {
    this.#suspectAfterMs = options.suspectAfterMs;
  }

  record(
    memberId: string,
    heartbeat: peer.Heartbeat,
    { echoedAtMs, nowMs, steadyMs }: {
      readonly echoedAtMs: number | null;
      readonly nowMs: number;
      readonly steadyMs: number;
    },
  ): void {
    const known = this.#entries.get(memberId);
    const earlier = known?.incarnation === heartbeat.incarnation ? known : null;
    const echoedSteadyMs = echoedAtMs === null ? null : steadyMs - (nowMs - echoedAtMs);
    this.#entries.set(memberId, {
      incarnation: heartbeat.incarnation,
      revision: heartbeat.revision,
      sentAtMs: heartbeat.sentAtMs,
      lastContactAtMs: laterOf(earlier?.lastContactAtMs ?? null, echoedAtMs),
      lastContactSteadyMs: laterOf(earlier?.lastContactSteadyMs ?? null, echoedSteadyMs),
      unreachableMemberIds: heartbeat.unheardMemberIds,
    });
  }

  /** The echo for the next heartbeat to a peer. */
  echoFor(memberId: string): Pick<peer.Heartbeat, "echoSentAtMs" | "echoIncarnation"> {
    const entry = this.#entries.get(memberId);
    return {
      echoSentAtMs: entry?.sentAtMs ?? null,
      echoIncarnation: entry?.incarnation ?? "",
    };
  }

  revisionOf(member: head.Member): number {
    return this.#entryOf(member)?.revision ?? 0;
  }

  contactAgeMs(member: head.Member, nowMs: number): number | null {
    const heardAtMs = this.#entryOf(member)?.lastContactAtMs ?? null;
    return heardAtMs === null ? null : nowMs - heardAtMs;
  }

  /** Sets the members whose heartbeats are expected from now on. */
  setExpected(members: readonly head.Member[], steadyMs: number): void {
    const sinceMs = new Map(this.#expectedSinceMs);
    this.#expectedSinceMs.clear();
    for (const { incarnation } of members) {
      this.#expectedSinceMs.set(incarnation, sinceMs.get(incarnation) ?? steadyMs);
    }
  }

  /** Whether there was contact with a member within the suspicion time. */
  isReachable(member: head.Member, nowMs: number): boolean {
    const ageMs = this.contactAgeMs(member, nowMs);
    return ageMs !== null && ageMs < this.#suspectAfterMs;
  }

  /** Whether a member has been expected for the suspicion time without any contact during it. */
  isUnreachable(member: head.Member, steadyMs: number): boolean {
    const expectedSinceMs = this.#expectedSinceMs.get(member.incarnation) ?? steadyMs;
    const contactAtMs = this.#entryOf(member)?.lastContactSteadyMs ?? -Infinity;
    return steadyMs - Math.max(expectedSinceMs, contactAtMs) >= this.#suspectAfterMs;
  }

  /** The members that each reachable member reported as unreachable in its last heartbeat. */
  unreachableReports(
    members: readonly head.Member[],
    nowMs: number,
  ): ReadonlyMap<string, readonly string[]> {
    const reports = new Map<string, readonly string[]>();
    for (const member of members) {
      if (this.isReachable(member, nowMs)) {
        reports.set(member.memberId, this.#entryOf(member)?.unreachableMemberIds ?? []);
      }
    }
    return reports;
  }

  #entryOf(member: head.Member): PeerEntry | null {
    const entry = this.#entries.get(member.memberId);
    return entry?.incarnation === member.incarnation ? entry : null;
  }
}

function laterOf(left: number | null, right: number | null): number | null {
  if (left === null || right === null) {
    return left ?? right;
  }
  return Math.max(left, right);
}
