/**
 * Open watches of the stand-in's key-value service: one streamed answer each.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Http2ServerResponse } from "node:http2";
import { encodeKeyValue } from "./gateway_messages.ts";
import { isInRange, type KeyEvent, type KeyRange, type KeyValueTable } from "./key_value_table.ts";
import type { Caller, FaultPlan } from "./platform_faults.ts";

/** What a watch follows, and where its answer goes. */
export interface WatchRequest {
  readonly range: KeyRange;
  readonly caller: Caller;
  readonly outgoing: ServerResponse | Http2ServerResponse;
}

/** Writes the events of a table to the watches; an outage of a caller cuts or silences its watches. */
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

  /** Cuts the watches whose callers have an outage now. */
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
      const wanted = events.filter((event) => isInRange(event.keyValue.key, request.range));
      const isSilenced = this.#faults.outageOf(request.caller) !== undefined;
      if (wanted.length > 0 && !isSilenced) {
        this.#write(request, { events: wanted.map(encodeEvent) });
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
