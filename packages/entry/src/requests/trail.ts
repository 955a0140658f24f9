/**
 * The decisions made about recent requests: one log line each, kept for `explain`.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** How many requests are kept. */
const MAX_REQUESTS = 4_000;
/** How many decisions of one request are kept. */
const MAX_STEPS = 32;

/** One decision. */
export interface Step {
  readonly atWallMs: number;
  readonly message: string;
  readonly fields: ports.log.LogFields;
}

/** Logs decisions and keeps those of the latest requests. */
export class Trail {
  readonly #log: ports.log.Log;
  readonly #clock: ports.clock.Clock;
  readonly #steps = new Map<string, Step[]>();

  constructor({ log, clock }: { log: ports.log.Log; clock: ports.clock.Clock }) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Records a decision about a request. */
  record(requestId: string, message: string, { fields }: { fields: ports.log.LogFields }): void {
    this.#log.info(message, { requestId, ...fields });
    let steps = this.#steps.get(requestId);
    if (steps === undefined) {
      steps = [];
      this.#steps.set(requestId, steps);
      this.#forgetOldest();
    }
    if (steps.length < MAX_STEPS) steps.push({ atWallMs: this.#clock.wallMs(), message, fields });
  }

  /** Logs a decision about a service as a whole. */
  recordService(message: string, { fields }: { fields: ports.log.LogFields }): void {
    this.#log.info(message, fields);
  }

  /** The decisions about a request, oldest first; null where none are kept. */
  explain(requestId: string): readonly Step[] | null {
    return this.#steps.get(requestId) ?? null;
  }

  #forgetOldest(): void {
    if (this.#steps.size <= MAX_REQUESTS) return;
    const oldest = this.#steps.keys().next().value;
    if (oldest !== undefined) this.#steps.delete(oldest);
  }
}
