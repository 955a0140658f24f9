/**
 * Acceptance: which revision a majority of the listed members is known to hold.
 *
 * A member list published without a majority of the one before it is held back: those that were fenced
 * may hear one another for up to `maxStoreOutageMs`, so nothing from it on is accepted earlier.
 *
 * An incarnation never goes back to a lower revision, so a report stays true once it was made. Two
 * lists that follow one another differ by one member, so their majorities have a member in common.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import { majorityOf } from "./freshness.ts";

/** Who asks, with the head that it holds. */
export interface AcceptanceInput {
  readonly head: head.Head;
  readonly incarnation: string;
  readonly nowMs: number;
}

/** Tracks what the members hold, and since when each fence is accepted. */
export class Acceptance {
  readonly #maxStoreOutageMs: number;
  readonly #heldByIncarnation = new Map<string, number>();
  readonly #fenceSeenAtMs = new Map<string, number>();
  readonly #fenceAcceptedAtMs = new Map<string, number>();
  #majorityRevision = 0;
  #acceptedRevision = 0;

  constructor(options: { readonly maxStoreOutageMs: number }) {
    this.#maxStoreOutageMs = options.maxStoreOutageMs;
  }

  /** Records the revision that an incarnation reported in a heartbeat. */
  recordHeldRevision(incarnation: string, revision: number): void {
    const known = this.#heldByIncarnation.get(incarnation) ?? 0;
    this.#heldByIncarnation.set(incarnation, Math.max(known, revision));
  }

  /** Works out what is accepted now, and returns whether a majority holds a higher revision. */
  update(holder: AcceptanceInput): boolean {
    const { head, nowMs } = holder;
    this.#forgetUnlisted(holder);
    const before = this.#majorityRevision;
    const held = this.#heldByMajority(holder);
    if (held >= head.membersRevision) {
      this.#majorityRevision = Math.max(before, held);
    }
    head.fences.forEach((fence) => this.#updateFence(fence, nowMs));
    if (!this.#isAcceptanceDelayed(head)) {
      this.#acceptedRevision = this.#majorityRevision;
    }
    return this.#majorityRevision > before;
  }

  /** The highest revision known to be held by a majority of the listed members. */
  majorityRevision(): number {
    return this.#majorityRevision;
  }

  /** The highest revision that nobody acts below, once the freshness time is over. */
  acceptedRevision(): number {
    return this.#acceptedRevision;
  }

  /** When this process first knew that the fence of an incarnation is accepted; null before. */
  fenceAcceptedAtMs(incarnation: string): number | null {
    return this.#fenceAcceptedAtMs.get(incarnation) ?? null;
  }

  /** Whether a list without a majority of the one before it is in use, and its wait is not over. */
  #isAcceptanceDelayed(head: head.Head): boolean {
    return head.fences.some((fence) =>
      fence.withoutMajority && !this.#fenceAcceptedAtMs.has(fence.incarnation)
    );
  }

  #heldByMajority({ head, incarnation }: AcceptanceInput): number {
    if (head.members.length === 0) {
      return head.revision;
    }
    const revisions = head.members.map((member) =>
      member.incarnation === incarnation
        ? head.revision
        : this.#heldByIncarnation.get(member.incarnation) ?? 0
    );
    revisions.sort((left, right) => right - left);
    return revisions[majorityOf(revisions.length) - 1] ?? 0;
  }

  #updateFence(fence: head.Fence, nowMs: number): void {
    const { incarnation } = fence;
    if (!this.#fenceSeenAtMs.has(incarnation)) {
      this.#fenceSeenAtMs.set(incarnation, nowMs);
    }
    const seenAtMs = this.#fenceSeenAtMs.get(incarnation) ?? nowMs;
    const waitMs = fence.withoutMajority ? this.#maxStoreOutageMs : 0;
    const isHeld = this.#majorityRevision >= fence.revision;
    if (isHeld && nowMs >= seenAtMs + waitMs && !this.#fenceAcceptedAtMs.has(incarnation)) {
      this.#fenceAcceptedAtMs.set(incarnation, nowMs);
    }
  }

  /** Forgets incarnations that are neither listed nor fenced, so that the tables stay small. */
  #forgetUnlisted({ head }: AcceptanceInput): void {
    const listed = new Set(head.members.map((member) => member.incarnation));
    const fenced = new Set(head.fences.map((fence) => fence.incarnation));
    for (const incarnation of this.#heldByIncarnation.keys()) {
      if (!listed.has(incarnation)) {
        this.#heldByIncarnation.delete(incarnation);
      }
    }
    for (const times of [this.#fenceSeenAtMs, this.#fenceAcceptedAtMs]) {
      for (const incarnation of times.keys()) {
        if (!fenced.has(incarnation)) {
          times.delete(incarnation);
        }
      }
    }
  }
}
