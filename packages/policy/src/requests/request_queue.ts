/**
 * The waiting requests of one team at one service, in the order in which they are to start.
 *
 * @module
 */
import type { config } from "@jackdawlink/schema";

/** One request that waits for permits. */
export interface WaitingRequest {
  readonly requestId: string;
  readonly team: string;
  readonly service: string;
  readonly urgency: config.Urgency;
  readonly enqueuedAtMs: number;
  /** When it is refused if it has not started. */
  readonly expiresAtMs: number;
}

/** By how much each urgency shifts a request's place among its team's requests. */
export const URGENCY_OFFSETS_MS: Readonly<Record<config.Urgency, number>> = {
  urgent: -4_000,
  normal: 0,
  background: 3_000,
};

/** Of so many starts of a team, one follows the order of places even where urgent requests wait. */
export const ARRIVAL_ORDER_START_INTERVAL = 4;

/**
 * The requests of one team. Each has a place: its arrival plus the offset of its urgency. Urgent
 * requests go before places that are earlier, as other requests may wait for much longer than the
 * offsets span; one start in {@link ARRIVAL_ORDER_START_INTERVAL} is kept for the earliest place, so that no
 * request is passed without end.
 */
export class TeamQueue {
  readonly #lines: Record<config.Urgency, WaitingRequest[]> = {
    urgent: [],
    normal: [],
    background: [],
  };
  /** Starts of urgent requests since the earliest place was last served. */
  #urgentPasses = 0;

  get length(): number {
    return this.#lines.urgent.length + this.#lines.normal.length + this.#lines.background.length;
  }

  get urgentLength(): number {
    return this.#lines.urgent.length;
  }

  add(request: WaitingRequest): void {
    const line = this.#lines[request.urgency];
    let index = line.length;
    while (index > 0 && line[index - 1]!.enqueuedAtMs > request.enqueuedAtMs) index -= 1;
    line.splice(index, 0, request);
  }

  remove(request: WaitingRequest): boolean {
    const line = this.#lines[request.urgency];
    const index = line.findIndex(({ requestId }) => requestId === request.requestId);
    if (index < 0) return false;
    line.splice(index, 1);
    return true;
  }

  /** The request that is to start next. */
  peek(): WaitingRequest | undefined {
    const placed = this.#earliestPlace();
    if (this.#urgentPasses >= ARRIVAL_ORDER_START_INTERVAL - 1) return placed;
    return this.peekUrgent() ?? placed;
  }

  /** Notes that a request starts; it is still to be removed. */
  recordStart(request: WaitingRequest): void {
    const isPlaced = request === this.#earliestPlace();
    this.#urgentPasses = isPlaced ? 0 : this.#urgentPasses + 1;
  }

  #earliestPlace(): WaitingRequest | undefined {
    let first: WaitingRequest | undefined;
    for (const line of Object.values(this.#lines)) {
      const candidate = line[0];
      if (candidate === undefined) continue;
      if (first === undefined || placeOf(candidate) < placeOf(first)) first = candidate;
    }
    return first;
  }

  /** The urgent request that has waited longest. */
  peekUrgent(): WaitingRequest | undefined {
    return this.#lines.urgent[0];
  }

  /** All requests, urgent ones first. */
  all(): readonly WaitingRequest[] {
    return [...this.#lines.urgent, ...this.#lines.normal, ...this.#lines.background];
  }
}

function placeOf(request: WaitingRequest): number {
  return request.enqueuedAtMs + URGENCY_OFFSETS_MS[request.urgency];
}
