/**
 * The ledger of one resource: what each member may hold. Allotments and quarantined permits together
 * never exceed the total, but for a total that was lowered.
 *
 * @module
 */
import * as quarantines from "./quarantine.ts";

/** What the coordinator knows of one member and one resource. */
export interface Account {
  readonly memberId: string;
  readonly incarnation: string;
  /** The most that the member may hold, whichever messages arrive. */
  bound: number;
  /** The allotment of the latest grant. */
  allotment: number;
  grantSeq: number;
  /** The latest grant that the member has answered. */
  acknowledgedSeq: number;
  inUse: number;
  /** When the latest grant was last sent; null before the first time. */
  sentAtMs: number | null;
}

/** Steps that a test may leave out to show that they matter. */
export interface LedgerVariant {
  readonly debitsOnAcknowledgement?: boolean;
  readonly ignoresAcknowledgedSeq?: boolean;
}

/** What a ledger starts from. */
export interface LedgerOptions {
  readonly total: number;
  /** Numbers the grants, each higher than the last. */
  readonly nextSeq: () => number;
  readonly variant?: LedgerVariant;
}

/** The accounts of one resource. */
export class Ledger {
  readonly resource: string;
  readonly quarantine = new quarantines.Quarantine();
  readonly #accounts = new Map<string, Account>();
  readonly #variant: LedgerVariant;
  readonly #nextSeq: () => number;
  #total: number;

  constructor(resource: string, options: LedgerOptions) {
    this.resource = resource;
    this.#total = options.total;
    this.#nextSeq = options.nextSeq;
    this.#variant = options.variant ?? {};
  }

  get total(): number {
    return this.#total;
  }

  /** Applies a change of the configured total; zero for a resource that was removed. */
  setTotal(total: number): void {
    if (total > this.#total) this.quarantine.addUnreported(total - this.#total);
    this.#total = total;
  }

  accounts(): Iterable<Account> {
    return this.#accounts.values();
  }

  accountOf(incarnation: string): Account | undefined {
    return this.#accounts.get(incarnation);
  }

  /** Opens the account of a listed member with what it reported. */
  open(memberId: string, options: { incarnation: string; held: number }): Account {
    const account: Account = {
      memberId,
      incarnation: options.incarnation,
      bound: options.held,
      allotment: options.held,
      grantSeq: 0,
      acknowledgedSeq: 0,
      inUse: 0,
      sentAtMs: null,
    };
    this.#accounts.set(options.incarnation, account);
    return account;
  }

  /** Closes the account of a member that was fenced or left; returns the most that it may hold. */
  close(incarnation: string): number {
    const bound = this.#accounts.get(incarnation)?.bound ?? 0;
    this.#accounts.delete(incarnation);
    return bound;
  }

  /** Permits that nobody can hold. */
  unallocated(): number {
    return this.#total - this.#boundSum() - this.quarantine.count();
  }

  /** Permits that are there to be allotted: the total without what is quarantined. */
  grantable(): number {
    return Math.max(0, this.#total - this.quarantine.count());
  }

  /** Whether nobody holds anything. */
  isEmpty(): boolean {
    return this.#boundSum() === 0 && this.quarantine.isEmpty();
  }

  /**
   * Grants a new allotment, as much of it as the total leaves. A raise is debited at once; a lower
   * allotment frees nothing until the member has answered.
   */
  grant(account: Account, allotment: number): boolean {
    const raise = Math.max(0, allotment - account.bound);
    const granted = Math.min(
      allotment,
      account.bound + Math.min(raise, Math.max(0, this.unallocated())),
    );
    if (granted === account.allotment) return false;
    account.allotment = granted;
    account.grantSeq = this.#nextSeq();
    account.sentAtMs = null;
    if (!this.#variant.debitsOnAcknowledgement) account.bound = Math.max(account.bound, granted);
    return true;
  }

  /**
   * Takes over what a member says that it holds after a grant. Only the latest grant's answer counts. What
   * a new coordinator took for an allotment may have been requests above a lower one, which have ended.
   */
  acknowledge(account: Account, report: { held: number; grantSeq: number }): void {
    if (report.grantSeq !== account.grantSeq && !this.#variant.ignoresAcknowledgedSeq) return;
    account.acknowledgedSeq = report.grantSeq;
    account.bound = this.#variant.debitsOnAcknowledgement
      ? report.held
      : Math.min(account.bound, report.held);
    account.allotment = Math.min(account.allotment, account.bound);
  }

  #boundSum(): number {
    let sum = 0;
    for (const account of this.#accounts.values()) sum += account.bound;
    return sum;
  }
}
