/**
 * The decisions made about recent requests: one log line each, kept for `explain`.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** How many requests are kept. */
const MAX_REQUESTS = 4_000;
/** How many decisions of one request are kept. */
const MAX_EVENTS_PER_REQUEST = 32;

/** One decision. */
export interface TraceEvent {
  readonly atWallMs: number;
  readonly message: string;
  readonly fields: ports.log.LogFields;
}

/** Logs decisions and keeps those of the latest requests. */
export class RequestTrace {
  readonly #log: ports.log.Log;
  readonly #clock: ports.clock.Clock;
  readonly #events = new Map<string, TraceEvent[]>();

  constructor({ log, clock }: { log: ports.log.Log; clock: ports.clock.Clock }) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Records a decision about a request. */
  record(requestId: string, message: string, { fields }: { fields: ports.log.LogFields }): void {
    this.#log.info(message, { requestId, ...fields });
    let events = this.#events.get(requestId);
    if (events === undefined) {
      events = [];
      this.#events.set(requestId, events);
      this.#evictOldest();
    }
    if (events.length < MAX_EVENTS_PER_REQUEST) {
      events.push({ atWallMs: this.#clock.wallMs(), message, fields });
    }
  }

  /** Logs a decision about a service as a whole. */
  recordService(message: string, { fields }: { fields: ports.log.LogFields }): void {
    this.#log.info(message, fields);
  }

  /** The decisions about a request, oldest first; null where none are kept. */
  explain(requestId: string): readonly TraceEvent[] | null {
    return this.#events.get(requestId) ?? null;
  }

  #evictOldest(): void {
    if (this.#events.size <= MAX_REQUESTS) return;
    const oldest = this.#events.keys().next().value;
    if (oldest !== undefined) this.#events.delete(oldest);
  }
}
