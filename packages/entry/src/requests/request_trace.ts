/**
 * Logs the decisions about requests, and keeps those about recent requests for `explain`.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** The number of requests whose decisions are kept; the oldest is evicted first. */
const MAX_REQUESTS = 4_000;
/** The number of decisions kept per request; later ones are only logged. */
const MAX_EVENTS_PER_REQUEST = 32;

/** A recorded decision. */
export interface TraceEvent {
  readonly atWallMs: number;
  readonly message: string;
  readonly fields: ports.log.LogFields;
}

/** Logs decisions and keeps those about the most recent requests. */
export class RequestTrace {
  readonly #log: ports.log.Log;
  readonly #clock: ports.clock.Clock;
  readonly #events = new Map<string, TraceEvent[]>();

  constructor({ log, clock }: { log: ports.log.Log; clock: ports.clock.Clock }) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Logs and keeps a decision about a request. */
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

  /** The decisions about a request, oldest first; null if none are kept. */
  explain(requestId: string): readonly TraceEvent[] | null {
    return this.#events.get(requestId) ?? null;
  }

  #evictOldest(): void {
    if (this.#events.size <= MAX_REQUESTS) return;
    const oldest = this.#events.keys().next().value;
    if (oldest !== undefined) this.#events.delete(oldest);
  }
}
