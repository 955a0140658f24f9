/**
 * Records of what coordinators may hold themselves. The witness keeps them, so that the permits of a
 * dead coordinator are known when the next one takes over.
 *
 * @module
 */

/** A record stands for "may hold everything" with this allotment. */
export const UNBOUNDED_ALLOTMENT = Number.MAX_SAFE_INTEGER;

/** The most that an incarnation may hold of a resource that it coordinates. */
export interface WitnessRecord {
  readonly group: string;
  readonly resource: string;
  readonly term: number;
  readonly allotment: number;
  readonly seq: number;
}

/** A record with the incarnation that it is about. */
export interface OwnedRecord extends WitnessRecord {
  readonly incarnation: string;
}

interface StoredRecord extends OwnedRecord {
  /** The term of the first later coordinator that was told of the record. */
  reportedTerm: number | null;
}

/** The records that one member keeps for coordinators. */
export class WitnessRecordStore {
  readonly #records = new Map<string, StoredRecord>();

  /** Keeps a record unless a later one is known; `promisedTerm` is the member's own promise. */
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
   * The records to report with a promise of a term. Each is told to one later coordinator only: once
   * that one grants, the record bounds nothing any more.
   */
  reportFor(group: string, term: number): readonly OwnedRecord[] {
    const told: OwnedRecord[] = [];
    for (const [key, record] of this.#records) {
      if (record.group !== group || record.term >= term) continue;
      record.reportedTerm ??= term;
      if (record.reportedTerm === term) told.push(record);
      else this.#records.delete(key);
    }
    return told;
  }

  /** Drops the records of all incarnations that have no request left. */
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
  /** The least that any record with this witness may say. */
  usableAllotment: number;
}

/** What a coordinator has told witnesses of its own allotment of one resource. */
export class OwnAllotmentRecords {
  readonly #witnesses = new Map<string, SentRecord>();
  #seq = 0;

  /** The most that the coordinator may hold now; unbounded while no record can be used against it. */
  usableAllotment(): number {
    let least = UNBOUNDED_ALLOTMENT;
    for (const sent of this.#witnesses.values()) least = Math.min(least, sent.usableAllotment);
    return least;
  }

  /** Whether a witness still has to answer. */
  hasUnacknowledged(): boolean {
    for (const sent of this.#witnesses.values()) if (!sent.isAcknowledged) return true;
    return false;
  }

  /** Forgets witnesses that are no longer listed. */
  retainOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#witnesses.keys()) {
      if (!incarnations.has(incarnation)) this.#witnesses.delete(incarnation);
    }
  }

  /**
   * The records to send now. A former witness is told that its record bounds nothing any more; `bound`
   * is the most that the coordinator may hold.
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

  /** A witness has kept the record; a former witness is forgotten then. */
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
