/**
 * The waiting requests of one team at one service, in the order in which they start.
 *
 * @module
 */
import type { config } from "@jackdawlink/schema";

/** A request that waits for a permit. */
export interface WaitingRequest {
  readonly requestId: string;
  readonly team: string;
  readonly service: string;
  readonly urgency: config.Urgency;
  readonly enqueuedAtMs: number;
  /** When the request is refused if it has not started by then. */
  readonly expiresAtMs: number;
}

/** Added to the arrival time of a request to get its effective arrival time, by urgency. */
export const URGENCY_OFFSETS_MS: Readonly<Record<config.Urgency, number>> = {
  urgent: -4_000,
  normal: 0,
  background: 3_000,
};

/** Every n-th start of a team follows effective arrival order even if urgent requests wait. */
export const ARRIVAL_ORDER_START_INTERVAL = 4;

/**
 * The queue of one team. The effective arrival time of a request is its arrival time plus the
 * offset of its urgency. Urgent requests overtake requests with an earlier effective arrival, since
 * requests in a backlog can be older than the offsets span. To prevent starvation, one start in
 * {@link ARRIVAL_ORDER_START_INTERVAL} goes to the request with the earliest effective arrival.
 */
export class TeamQueue {
  readonly #requests: Record<config.Urgency, WaitingRequest[]> = {
    urgent: [],
    normal: [],
    background: [],
  };
  /** Starts since the request with the earliest effective arrival was last served. */
  #startsSinceEarliest = 0;

  get length(): number {
    return this.#requests.urgent.length + this.#requests.normal.length +
      this.#requests.background.length;
  }

  get urgentLength(): number {
    return this.#requests.urgent.length;
  }

  add(request: WaitingRequest): void {
    const requests = this.#requests[request.urgency];
    let index = requests.length;
    while (index > 0 && requests[index - 1]!.enqueuedAtMs > request.enqueuedAtMs) index -= 1;
    requests.splice(index, 0, request);
  }

  remove(request: WaitingRequest): boolean {
    const requests = this.#requests[request.urgency];
    const index = requests.findIndex(({ requestId }) => requestId === request.requestId);
    if (index < 0) return false;
    requests.splice(index, 1);
    return true;
  }

  /** Returns the request that starts next. */
  peek(): WaitingRequest | undefined {
    const earliest = this.#earliestRequest();
    if (this.#startsSinceEarliest >= ARRIVAL_ORDER_START_INTERVAL - 1) return earliest;
    return this.peekUrgent() ?? earliest;
  }

  /** Records that a request starts. The caller removes the request separately. */
  recordStart(request: WaitingRequest): void {
    const isEarliest = request === this.#earliestRequest();
    this.#startsSinceEarliest = isEarliest ? 0 : this.#startsSinceEarliest + 1;
  }

  #earliestRequest(): WaitingRequest | undefined {
    let first: WaitingRequest | undefined;
    for (const requests of Object.values(this.#requests)) {
      const candidate = requests[0];
      if (candidate === undefined) continue;
      if (first === undefined || effectiveArrivalMs(candidate) < effectiveArrivalMs(first)) {
        first = candidate;
      }
    }
    return first;
  }

  /** Returns the urgent request that has waited longest. */
  peekUrgent(): WaitingRequest | undefined {
    return this.#requests.urgent[0];
  }

  /** Returns all requests, urgent ones first. */
  all(): readonly WaitingRequest[] {
    return [...this.#requests.urgent, ...this.#requests.normal, ...this.#requests.background];
  }
}

function effectiveArrivalMs(request: WaitingRequest): number {
  return request.enqueuedAtMs + URGENCY_OFFSETS_MS[request.urgency];
}
