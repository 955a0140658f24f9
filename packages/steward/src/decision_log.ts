/**
 * Keeps the latest decisions for `GET /v1/explain/<subject>` and writes them to the log.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** One decision with its time, its subjects and its inputs. */
export interface Decision {
  readonly atMs: number;
  readonly message: string;
  readonly subjects: readonly string[];
  readonly fields: ports.log.LogFields;
}

const MAX_DECISIONS = 4_096;

/**
 * A bounded list of decisions. A repetition of the last decision about its main subject is dropped.
 */
export class DecisionLog {
  readonly #clock: ports.clock.Clock;
  readonly #log: ports.log.Log;
  readonly #decisions: Decision[] = [];
  readonly #lastBySubject = new Map<string, string>();

  constructor(clock: ports.clock.Clock, log: ports.log.Log) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Records and logs a decision about VMs, jobs, waves or pools; the first is its main subject. */
  add(message: string, subjects: readonly string[], fields: ports.log.LogFields = {}): void {
    const main = subjects[0] ?? "";
    const text = `${message} ${JSON.stringify(fields)}`;
    if (this.#lastBySubject.get(main) === text) {
      return;
    }
    this.#recordLast(main, text);
    this.#log.info(message, { subject: main, ...fields });
    this.#decisions.push({ atMs: this.#clock.wallMs(), message, subjects, fields });
    if (this.#decisions.length > MAX_DECISIONS) {
      this.#decisions.shift();
    }
  }

  /** The recorded decisions about a subject, oldest first. */
  about(subject: string): readonly Decision[] {
    return this.#decisions.filter(({ subjects }) => subjects.includes(subject));
  }

  /** Records the last decision about a subject, and evicts the least recently updated subject. */
  #recordLast(subject: string, text: string): void {
    this.#lastBySubject.delete(subject);
    this.#lastBySubject.set(subject, text);
    if (this.#lastBySubject.size > MAX_DECISIONS) {
      const [oldest] = this.#lastBySubject.keys();
      this.#lastBySubject.delete(oldest ?? "");
    }
  }
}
