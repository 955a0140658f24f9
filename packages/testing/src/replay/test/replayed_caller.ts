/**
 * The caller's side of one request, without a network.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import type * as nodeHttp from "node:http";
import { Readable } from "node:stream";
import { http } from "@jackdawlink/schema";
import type * as replayRecord from "../replay_record.ts";

/** Header that maps a run at a backend server to its request in the trace. */
export const REPLAY_ID_HEADER = "x-replay-id";

/** A request and the callback for its result. */
export interface CallerOptions {
  readonly request: replayRecord.ReplayedRequest;
  /** The secret of the caller's key; null for an open queue. */
  readonly secret: string | null;
  /** Called when the caller has received its result. */
  readonly onResult: () => void;
}

/** Creates the message and the response that the request path of an entry handles. */
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

/** Records the answer of the entry as the result of the request. */
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
