/**
 * The latest decisions, kept for `GET /v1/explain/<subject>` and written as log lines.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** One decision with what it was made from. */
export interface Decision {
  readonly atMs: number;
  readonly message: string;
  readonly subjects: readonly string[];
  readonly fields: ports.log.LogFields;
}

const MAX_DECISIONS = 4_096;

/** A bounded list of decisions; a decision that repeats the last one about its subject is left out. */
export class DecisionLog {
  readonly #clock: ports.clock.Clock;
  readonly #log: ports.log.Log;
  readonly #decisions: Decision[] = [];
  readonly #lastBySubject = new Map<string, string>();

  constructor(clock: ports.clock.Clock, log: ports.log.Log) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Keeps a decision about some VMs, jobs, waves or pools; the first of them is its main subject. */
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

  /** The kept decisions about a subject, oldest first. */
  about(subject: string): readonly Decision[] {
    return this.#decisions.filter(({ subjects }) => subjects.includes(subject));
  }

  #recordLast(subject: string, text: string): void {
    this.#lastBySubject.delete(subject);
    this.#lastBySubject.set(subject, text);
    if (this.#lastBySubject.size > MAX_DECISIONS) {
      const [oldest] = this.#lastBySubject.keys();
      this.#lastBySubject.delete(oldest ?? "");
    }
  }
}
