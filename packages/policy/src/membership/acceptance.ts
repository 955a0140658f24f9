/**
 * Acceptance: tracks the highest revision that a majority of the listed members is known to hold.
 *
 * A member list published without a majority of the previous one is accepted only after
 * `maxStoreOutageMs`, and so are all later revisions: until then, the fenced members may have
 * contact with one another and so consider themselves fresh.
 *
 * An incarnation never returns to a lower revision, so a reported revision remains a lower bound.
 * Consecutive lists differ by one member, so any two majorities of them have a member in common.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import { majorityOf } from "./freshness.ts";

/** The time, and the identity of this process with the head that it holds. */
export interface AcceptanceInput {
  readonly head: head.Head;
  readonly incarnation: string;
  /** On the clock's steady reading. */
  readonly nowMs: number;
}

/** Tracks the revisions that members hold, and since when each fence has been accepted. */
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

  /**
   * Updates the accepted revision; returns whether the revision held by a majority has advanced.
   */
  update(input: AcceptanceInput): boolean {
    const { head, nowMs } = input;
    this.#forgetUnlisted(input);
    const before = this.#majorityRevision;
    const held = this.#revisionHeldByMajority(input);
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

  /**
   * The highest accepted revision; `freshForMs` after acceptance no process acts on a lower one.
   */
  acceptedRevision(): number {
    return this.#acceptedRevision;
  }

  /**
   * When this process learned that the fence of an incarnation was accepted; null if it was not.
   */
  fenceAcceptedAtMs(incarnation: string): number | null {
    return this.#fenceAcceptedAtMs.get(incarnation) ?? null;
  }

  /** Whether a list published without a majority of the previous one is not accepted yet. */
  #isAcceptanceDelayed(head: head.Head): boolean {
    return head.fences.some((fence) =>
      fence.withoutMajority && !this.#fenceAcceptedAtMs.has(fence.incarnation)
    );
  }

  #revisionHeldByMajority({ head, incarnation }: AcceptanceInput): number {
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

  /** Removes entries of incarnations that are neither listed nor fenced, to bound memory use. */
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
