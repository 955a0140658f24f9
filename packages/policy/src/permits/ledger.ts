/**
 * The ledger of one resource: an upper bound of the permits that each member holds. The sum of
 * these bounds and of the quarantined permits never exceeds the total, except after the total was
 * lowered, until members have returned the excess permits.
 *
 * @module
 */
import * as quarantines from "./quarantine.ts";

/** The coordinator's account of one member for one resource. */
export interface Account {
  readonly memberId: string;
  readonly incarnation: string;
  /** The upper bound of the permits that the member holds, whichever grants have reached it. */
  bound: number;
  /** The allotment of the latest grant. */
  allotment: number;
  grantSeq: number;
  /** The sequence number of the latest grant that the member has acknowledged. */
  acknowledgedSeq: number;
  inUse: number;
  /** When the latest grant was last sent; null if it has not been sent yet. */
  sentAtMs: number | null;
}

/** Switches that disable single steps of the protocol; only the model test sets them. */
export interface LedgerVariant {
  /** Raises a member's bound when it acknowledges a grant, instead of when the grant is made. */
  readonly debitsOnAcknowledgement?: boolean;
  /** Treats a report about any grant as the acknowledgement of the latest one. */
  readonly ignoresAcknowledgedSeq?: boolean;
}

/** The initial total of a ledger and its source of sequence numbers. */
export interface LedgerOptions {
  readonly total: number;
  /** Returns strictly increasing sequence numbers for the grants. */
  readonly nextSeq: () => number;
  readonly variant?: LedgerVariant;
}

/** Keeps the accounts of all listed members for one resource. */
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

  /** Changes the configured total; a resource that is no longer configured has a total of zero. */
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

  /** Opens the account of a listed member that holds `held` permits. */
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

  /** Closes the account of a member that was fenced or left, and returns its bound. */
  close(incarnation: string): number {
    const bound = this.#accounts.get(incarnation)?.bound ?? 0;
    this.#accounts.delete(incarnation);
    return bound;
  }

  /** Permits that no member can hold; negative while a lowered total is exceeded. */
  unallocated(): number {
    return this.#total - this.#boundSum() - this.quarantine.count();
  }

  /** Permits that can be divided among the listed members: the total minus the quarantined ones. */
  grantable(): number {
    return Math.max(0, this.#total - this.quarantine.count());
  }

  /** Whether no permits are held or quarantined. */
  isEmpty(): boolean {
    return this.#boundSum() === 0 && this.quarantine.isEmpty();
  }

  /**
   * Grants a new allotment, capped by the unallocated permits; returns whether the allotment
   * changed. A raise increases the member's bound at once. A lower allotment decreases it only when
   * the member acknowledges the grant.
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
   * Applies a member's report of the permits that it holds. Only a report about the latest grant
   * counts. The allotment is lowered to the bound as well: after a takeover it is the reported
   * number of held permits, which may include requests above a lowered allotment that have ended
   * since.
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
