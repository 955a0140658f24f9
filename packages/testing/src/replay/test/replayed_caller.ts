/**
 * A caller's side of one request, without a network.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import type * as nodeHttp from "node:http";
import { Readable } from "node:stream";
import { http } from "@jackdawlink/schema";
import type * as replayRecord from "../replay_record.ts";

/** Tells the backend servers which request of the trace a run belongs to. */
export const REPLAY_ID_HEADER = "x-replay-id";

/** What a caller sends. */
export interface CallerOptions {
  readonly request: replayRecord.ReplayedRequest;
  /** The secret of its key; null on an open queue. */
  readonly secret: string | null;
  /** Called when the caller has been told how its request ended. */
  readonly onResult: () => void;
}

/** Makes the message and the response that an entry's request path works on. */
export function createExchange(options: CallerOptions) {
  const { request, secret } = options;
  const headers: nodeHttp.IncomingHttpHeaders = {
    [REPLAY_ID_HEADER]: request.requestId,
    [http.URGENCY_HEADER]: request.arrival.urgency,
    [http.REPEATABLE_HEADER]: request.arrival.isRepeatable ? "yes" : "no",
  };
  if (secret !== null) headers.authorization = `Bearer ${secret}`;
  const message = Object.assign(Readable.from([]), { headers, method: "POST", complete: true });
  return {
    queueName: request.arrival.queue,
    path: "/",
    message: message as unknown as nodeHttp.IncomingMessage,
    response: new ReplayedResponse(options) as unknown as nodeHttp.ServerResponse,
  };
}

/** Keeps what the entry answers. */
class ReplayedResponse extends EventEmitter {
  readonly req = { complete: true };
  writableFinished = false;
  readonly #options: CallerOptions;
  #outcome: replayRecord.CallerResult["outcome"] = "unknown";

  constructor(options: CallerOptions) {
    super();
    this.#options = options;
  }

  writeHead(_status: number, headers: nodeHttp.OutgoingHttpHeaders): void {
    this.#outcome = headers[http.OUTCOME_HEADER] as replayRecord.CallerResult["outcome"];
  }

  write(): boolean {
    return true;
  }

  end(body: Buffer): void {
    this.writableFinished = true;
    this.#recordResult(this.#outcome === "answered" ? "" : JSON.parse(body.toString()).error.type);
  }

  destroy(): void {
    this.#outcome = "unknown";
    this.#recordResult("destroyed");
  }

  #recordResult(reason: string): void {
    const { request, onResult } = this.#options;
    request.results.push({ outcome: this.#outcome, reason });
    onResult();
    this.emit("close");
  }
}
