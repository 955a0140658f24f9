/**
 * The open watches of the stand-in's key-value service, each a streamed answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Http2ServerResponse } from "node:http2";
import { encodeKeyValue } from "./gateway_messages.ts";
import { isInRange, type KeyEvent, type KeyRange, type KeyValueTable } from "./key_value_table.ts";
import type { Caller, FaultPlan } from "./platform_faults.ts";

/** The key range, the client and the response of a watch. */
export interface WatchRequest {
  readonly range: KeyRange;
  readonly caller: Caller;
  readonly outgoing: ServerResponse | Http2ServerResponse;
}

/** Streams the events of a table to the watches; an outage of a client cuts or mutes its watches. */
export class WatchStreams {
  readonly #table: KeyValueTable;
  readonly #faults: FaultPlan;
  readonly #open = new Set<WatchRequest>();
  readonly #stopListening: () => void;

  constructor({ table, faults }: { table: KeyValueTable; faults: FaultPlan }) {
    this.#table = table;
    this.#faults = faults;
    this.#stopListening = table.onEvents((events) => this.#notify(events));
  }

  get openCount(): number {
    return this.#open.size;
  }

  open(request: WatchRequest): void {
    const outgoing = request.outgoing as ServerResponse;
    outgoing.writeHead(200, { "content-type": "application/json" });
    this.#open.add(request);
    outgoing.on("close", () => this.#open.delete(request));
    this.#write(request, { created: true });
  }

  /** Cuts the watches of clients with an active outage. */
  applyFaults(): void {
    for (const request of this.#open) {
      const outage = this.#faults.outageOf(request.caller);
      if (outage === "refused" || outage === "error") request.outgoing.destroy();
    }
  }

  close(): void {
    this.#stopListening();
    for (const request of this.#open) request.outgoing.destroy();
  }

  #notify(events: readonly KeyEvent[]): void {
    for (const request of this.#open) {
      const matching = events.filter((event) => isInRange(event.keyValue.key, request.range));
      const isMuted = this.#faults.outageOf(request.caller) !== undefined;
      if (matching.length > 0 && !isMuted) {
        this.#write(request, { events: matching.map(encodeEvent) });
      }
    }
  }

  #write(request: WatchRequest, result: Record<string, unknown>): void {
    const header = { revision: String(this.#table.revision) };
    const line = JSON.stringify({ result: { header, watch_id: "0", ...result } });
    (request.outgoing as ServerResponse).write(`${line}\n`);
  }
}

function encodeEvent(event: KeyEvent): Record<string, unknown> {
  const type = event.kind === "delete" ? { type: "DELETE" } : {};
  return { ...type, kv: encodeKeyValue(event.keyValue) };
}
