/**
 * Witness records: upper bounds of the permits that a coordinator holds itself. Another member, the
 * witness, stores them, so that a new coordinator knows how many permits a dead one may have held.
 *
 * @module
 */

/** The allotment of a record that sets no upper bound. */
export const UNBOUNDED_ALLOTMENT = Number.MAX_SAFE_INTEGER;

/** An upper bound of the permits that a coordinator holds of a resource in its group. */
export interface WitnessRecord {
  readonly group: string;
  readonly resource: string;
  readonly term: number;
  readonly allotment: number;
  readonly seq: number;
}

/** A record with the incarnation of the coordinator. */
export interface OwnedRecord extends WitnessRecord {
  readonly incarnation: string;
}

interface StoredRecord extends OwnedRecord {
  /** The term of the coordinator that the record was reported to; null if it was not reported. */
  reportedTerm: number | null;
}

/** The records that one member stores as a witness of coordinators. */
export class WitnessRecordStore {
  readonly #records = new Map<string, StoredRecord>();

  /**
   * Stores a record unless a later one is stored. Returns false, without storing, if the member has
   * promised a higher term: the coordinator must not use the allotment then.
   */
  store(record: OwnedRecord, promisedTerm: number): boolean {
    if (record.term < promisedTerm) return false;
    const key = `${record.incarnation} ${record.resource}`;
    const known = this.#records.get(key);
    if (known === undefined || isLater(record, known)) {
      this.#records.set(key, { ...record, reportedTerm: null });
    }
    return true;
  }

  /**
   * The records to report to the coordinator of `term`. Each record is reported to the coordinator
   * of one later term only, and then dropped: it is no upper bound any more once that coordinator
   * has made grants.
   */
  reportFor(group: string, term: number): readonly OwnedRecord[] {
    const reported: OwnedRecord[] = [];
    for (const [key, record] of this.#records) {
      if (record.group !== group || record.term >= term) continue;
      record.reportedTerm ??= term;
      if (record.reportedTerm === term) reported.push(record);
      else this.#records.delete(key);
    }
    return reported;
  }

  /** Drops records of all incarnations except the given ones, which may have running requests. */
  retainOnly(incarnations: ReadonlySet<string>): void {
    for (const [key, record] of this.#records) {
      if (!incarnations.has(record.incarnation)) this.#records.delete(key);
    }
  }
}

function isLater(record: WitnessRecord, known: WitnessRecord): boolean {
  return record.term > known.term || (record.term === known.term && record.seq > known.seq);
}

interface SentRecord {
  seq: number;
  allotment: number;
  sentAtMs: number;
  isAcknowledged: boolean;
  /** The lowest allotment that the witness may have stored; unacknowledged records may be lost. */
  usableAllotment: number;
}

/** The records of its own allotment of one resource that a coordinator has sent to witnesses. */
export class OwnAllotmentRecords {
  readonly #witnesses = new Map<string, SentRecord>();
  #seq = 0;

  /** The most permits that the coordinator may use; unbounded if no stored record can be lower. */
  usableAllotment(): number {
    let lowest = UNBOUNDED_ALLOTMENT;
    for (const sent of this.#witnesses.values()) lowest = Math.min(lowest, sent.usableAllotment);
    return lowest;
  }

  /** Whether a record has not been acknowledged yet. */
  hasUnacknowledged(): boolean {
    for (const sent of this.#witnesses.values()) if (!sent.isAcknowledged) return true;
    return false;
  }

  /** Removes witnesses that are no longer listed. */
  retainOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#witnesses.keys()) {
      if (!incarnations.has(incarnation)) this.#witnesses.delete(incarnation);
    }
  }

  /**
   * The records to send now, including repeats. The current witness gets `bound`, the upper bound
   * of the permits that the coordinator holds. A former witness gets an unbounded record, so that
   * the record that it stores no longer restricts the coordinator.
   */
  due(
    witness: string | null,
    options: { bound: number; nowMs: number; resendMs: number },
  ): readonly { incarnation: string; allotment: number; seq: number }[] {
    const due = [];
    if (witness !== null) this.#set(witness, options.bound);
    for (const [incarnation, sent] of this.#witnesses) {
      if (incarnation !== witness) this.#set(incarnation, UNBOUNDED_ALLOTMENT);
      if (sent.isAcknowledged || options.nowMs - sent.sentAtMs < options.resendMs) continue;
      sent.sentAtMs = options.nowMs;
      due.push({ incarnation, allotment: sent.allotment, seq: sent.seq });
    }
    return due;
  }

  /** Handles an acknowledgement; a former witness is removed once it has stored the last record. */
  acknowledge(incarnation: string, options: { seq: number; witness: string | null }): void {
    const sent = this.#witnesses.get(incarnation);
    if (sent === undefined || sent.seq !== options.seq) return;
    sent.isAcknowledged = true;
    sent.usableAllotment = sent.allotment;
    if (incarnation !== options.witness && sent.allotment === UNBOUNDED_ALLOTMENT) {
      this.#witnesses.delete(incarnation);
    }
  }

  #set(incarnation: string, allotment: number): void {
    const sent = this.#witnesses.get(incarnation);
    if (sent === undefined) {
      this.#seq += 1;
      this.#witnesses.set(incarnation, {
        seq: this.#seq,
        allotment,
        sentAtMs: -Infinity,
        isAcknowledged: false,
        usableAllotment: allotment,
      });
    } else if (sent.allotment !== allotment) {
      this.#seq += 1;
      sent.seq = this.#seq;
      sent.allotment = allotment;
      sent.sentAtMs = -Infinity;
      sent.isAcknowledged = false;
      sent.usableAllotment = Math.min(sent.usableAllotment, allotment);
    }
  }
}
