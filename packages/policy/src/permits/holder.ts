/**
 * What one member incarnation holds of each resource, and what it has promised to coordinators.
 *
 * @module
 */

/** A coordinator's word on what a member may hold of one resource. */
export interface Grant {
  readonly resource: string;
  readonly group: string;
  readonly term: number;
  readonly allotment: number;
  readonly grantSeq: number;
  /** The total that the coordinator divides. */
  readonly total: number;
}

/** What a member holds of one resource; `held` includes what runs above a lowered allotment. */
export interface Holding {
  readonly resource: string;
  readonly held: number;
  readonly inUse: number;
  readonly grantSeq: number;
  /** The total that the latest grant named. */
  readonly total: number;
}

/** Steps that a test may leave out to show that they matter. */
export interface HolderVariant {
  readonly ignoresTerms?: boolean;
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
  /** Report requests below this term are refused, though grants of the promised term are taken. */
  minRequestTerm: number;
  readonly resources: Map<string, HeldResource>;
}

/** The permits of one incarnation; a new incarnation starts with a new holder. */
export class Holder {
  readonly #groups = new Map<string, HeldGroup>();
  readonly #resources = new Map<string, HeldResource>();
  readonly #variant: HolderVariant;
  #isLeaving = false;

  constructor(variant: HolderVariant = {}) {
    this.#variant = variant;
  }

  /** Whether one more request may run against the resource. */
  hasFree(resource: string): boolean {
    const held = this.#resources.get(resource);
    return held !== undefined && held.inUse < held.allotment;
  }

  /** Permits that are held and not in use. */
  freeCount(resource: string): number {
    const held = this.#resources.get(resource);
    return held === undefined ? 0 : Math.max(0, held.allotment - held.inUse);
  }

  /** Takes one permit; false where none is free. */
  take(resource: string): boolean {
    const held = this.#resources.get(resource);
    if (held === undefined || held.inUse >= held.allotment) return false;
    held.inUse += 1;
    return true;
  }

  /** Counts one running request, whether a permit is free or not; a team without a limit needs none. */
  takeUnchecked(group: string, resource: string): void {
    this.#resourceOf(this.#groupOf(group), resource).inUse += 1;
  }

  /** Returns one permit that {@link take} gave. */
  release(resource: string): void {
    const held = this.#resources.get(resource);
    if (held !== undefined && held.inUse > 0) held.inUse -= 1;
  }

  /** The highest term that the member has promised to a group's coordinators. */
  promisedTermOf(group: string): number {
    return this.#groups.get(group)?.promisedTerm ?? 0;
  }

  /**
   * Promises to take no grant of a lower term, and reports what is held. Null where a higher term was
   * promised before.
   */
  promise(group: string, term: number): readonly Holding[] | null {
    const held = this.#groupOf(group);
    if (term < Math.max(held.promisedTerm, held.minRequestTerm)) return null;
    if (term > held.promisedTerm) this.#raisePromise(held, term);
    return [...held.resources.keys()].map((resource) => this.holdingOf(resource));
  }

  /**
   * Refuses report requests of lower terms from now on. A coordinator that stays one over a change of
   * the member list does so, because a coordinator of a list in between would not know newer members.
   */
  refuseTermsBelow(group: string, term: number): void {
    const held = this.#groupOf(group);
    held.minRequestTerm = Math.max(held.minRequestTerm, term);
  }

  /** Applies a grant; false where it is outdated. */
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

  /** What the member holds of a resource. */
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

  /** Gives up every idle permit for good; what runs is given up as it ends. */
  startLeaving(): void {
    this.#isLeaving = true;
    for (const held of this.#resources.values()) held.allotment = 0;
  }

  /** The groups of which the member has ever held any or promised anything. */
  groups(): Iterable<string> {
    return this.#groups.keys();
  }

  /** The resources of a group of which the member has ever held any. */
  resourcesOf(group: string): Iterable<string> {
    return this.#groups.get(group)?.resources.keys() ?? [];
  }

  /** Grants are numbered anew in each term. */
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
