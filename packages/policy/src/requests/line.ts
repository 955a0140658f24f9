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

/**
 * The requests of one team. Each is ordered by its arrival plus the offset of its urgency, so that
 * urgent requests go first and yet no request is passed by later ones for longer than the offsets span.
 */
export class TeamLine {
  readonly #lines: Record<config.Urgency, WaitingRequest[]> = {
    urgent: [],
    normal: [],
    background: [],
  };

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
  head(): WaitingRequest | undefined {
    let first: WaitingRequest | undefined;
    for (const line of Object.values(this.#lines)) {
      const candidate = line[0];
      if (candidate === undefined) continue;
      if (first === undefined || placeOf(candidate) < placeOf(first)) first = candidate;
    }
    return first;
  }

  /** The urgent request that has waited longest. */
  urgentHead(): WaitingRequest | undefined {
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
