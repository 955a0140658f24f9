/**
 * The permits that one member incarnation holds of each resource, and the highest term that it has
 * promised to the coordinators of each group.
 *
 * @module
 */

/** A coordinator's grant: how many permits of one resource the member may use. */
export interface Grant {
  readonly resource: string;
  readonly group: string;
  readonly term: number;
  readonly allotment: number;
  readonly grantSeq: number;
  /** The resource's total when the coordinator sent the grant. */
  readonly total: number;
}

/**
 * The permits of one resource that a member holds. `held` includes running requests above an
 * allotment that was lowered while they ran.
 */
export interface Holding {
  readonly resource: string;
  readonly held: number;
  readonly inUse: number;
  readonly grantSeq: number;
  /** The resource's total according to the latest grant. */
  readonly total: number;
}

/** Switches that disable single steps of the protocol; only the model test sets them. */
export interface HolderVariant {
  /** Applies grants of terms below the promised one. */
  readonly ignoresTerms?: boolean;
  /** Applies grants that are older than the latest one. */
  readonly ignoresGrantSeq?: boolean;
}

interface HeldResource {
  allotment: number;
  inUse: number;
  grantSeq: number;
  total: number;
}

interface HeldGroup {
  promisedTerm: number;
  /** The lowest term whose report requests are answered; it does not affect grants. */
  minRequestTerm: number;
  readonly resources: Map<string, HeldResource>;
}

/** The permits of one incarnation. A new incarnation must create a new holder. */
export class Holder {
  readonly #groups = new Map<string, HeldGroup>();
  readonly #resources = new Map<string, HeldResource>();
  readonly #variant: HolderVariant;
  #isLeaving = false;

  constructor(variant: HolderVariant = {}) {
    this.#variant = variant;
  }

  /** Whether a permit of the resource is free, so that one more request can start. */
  hasFree(resource: string): boolean {
    const held = this.#resources.get(resource);
    return held !== undefined && held.inUse < held.allotment;
  }

  /** The number of held permits of the resource that are not in use. */
  freeCount(resource: string): number {
    const held = this.#resources.get(resource);
    return held === undefined ? 0 : Math.max(0, held.allotment - held.inUse);
  }

  /** Takes one permit; returns false if none is free. */
  take(resource: string): boolean {
    const held = this.#resources.get(resource);
    if (held === undefined || held.inUse >= held.allotment) return false;
    held.inUse += 1;
    return true;
  }

  /** Counts one running request without requiring a free permit, for teams without a limit. */
  takeUnchecked(group: string, resource: string): void {
    this.#resourceOf(this.#groupOf(group), resource).inUse += 1;
  }

  /** Returns one permit taken by {@link take} or {@link takeUnchecked}. */
  release(resource: string): void {
    const held = this.#resources.get(resource);
    if (held !== undefined && held.inUse > 0) held.inUse -= 1;
  }

  /** The highest term that the member has promised to the coordinators of a group; 0 for none. */
  promisedTermOf(group: string): number {
    return this.#groups.get(group)?.promisedTerm ?? 0;
  }

  /**
   * Promises to apply no grant of a lower term, and returns the held permits. Returns null if a
   * higher term was promised before, or if the term is refused by {@link refuseTermsBelow}.
   */
  promise(group: string, term: number): readonly Holding[] | null {
    const held = this.#groupOf(group);
    if (term < Math.max(held.promisedTerm, held.minRequestTerm)) return null;
    if (term > held.promisedTerm) this.#raisePromise(held, term);
    return [...held.resources.keys()].map((resource) => this.holdingOf(resource));
  }

  /**
   * Refuses report requests of lower terms from now on. A member calls it when it remains
   * coordinator across a change of the member list: a coordinator that was started for an older
   * list would not know the members that joined later.
   */
  refuseTermsBelow(group: string, term: number): void {
    const held = this.#groupOf(group);
    held.minRequestTerm = Math.max(held.minRequestTerm, term);
  }

  /** Applies a grant; returns false if its term or sequence number is outdated. */
  applyGrant(grant: Grant): boolean {
    const group = this.#groupOf(grant.group);
    if (grant.term < group.promisedTerm && !this.#variant.ignoresTerms) return false;
    if (grant.term > group.promisedTerm) this.#raisePromise(group, grant.term);
    const held = this.#resourceOf(group, grant.resource);
    if (grant.grantSeq <= held.grantSeq && !this.#variant.ignoresGrantSeq) return false;
    held.allotment = this.#isLeaving ? 0 : grant.allotment;
    held.grantSeq = grant.grantSeq;
    held.total = grant.total;
    return true;
  }

  /** The permits of a resource that the member holds; zeros if it never held any. */
  holdingOf(resource: string): Holding {
    const held = this.#resources.get(resource);
    if (held === undefined) return { resource, held: 0, inUse: 0, grantSeq: 0, total: 0 };
    return {
      resource,
      held: Math.max(held.allotment, held.inUse),
      inUse: held.inUse,
      grantSeq: held.grantSeq,
      total: held.total,
    };
  }

  /**
   * Returns all idle permits and ignores the allotments of later grants. Permits in use are
   * returned as their requests end.
   */
  startLeaving(): void {
    this.#isLeaving = true;
    for (const held of this.#resources.values()) held.allotment = 0;
  }

  /** The groups in which the member has ever held a permit or promised a term. */
  groups(): Iterable<string> {
    return this.#groups.keys();
  }

  /** The resources of a group of which the member has ever held a permit. */
  resourcesOf(group: string): Iterable<string> {
    return this.#groups.get(group)?.resources.keys() ?? [];
  }

  /**
   * Raises the promised term and resets the sequence numbers, as each term counts its own grants.
   */
  #raisePromise(group: HeldGroup, term: number): void {
    group.promisedTerm = term;
    for (const held of group.resources.values()) held.grantSeq = 0;
  }

  #groupOf(group: string): HeldGroup {
    let held = this.#groups.get(group);
    if (held === undefined) {
      held = { promisedTerm: 0, minRequestTerm: 0, resources: new Map() };
      this.#groups.set(group, held);
    }
    return held;
  }

  #resourceOf(group: HeldGroup, resource: string): HeldResource {
    let held = group.resources.get(resource);
    if (held === undefined) {
      held = { allotment: 0, inUse: 0, grantSeq: 0, total: 0 };
      group.resources.set(resource, held);
      this.#resources.set(resource, held);
    }
    return held;
  }
}
