/**
 * The state of one request from its admission to its end.
 *
 * @module
 */
import type * as nodeHttp from "node:http";
import { requests as policy } from "@jackdawlink/policy";
import type { http } from "@jackdawlink/schema";
import type * as callerAnswer from "./caller_answer.ts";
import type * as requestIndex from "./request_index.ts";

/** A request of a caller that has passed admission. */
export interface AdmittedRequest extends policy.requestQueue.WaitingRequest {
  readonly queue: requestIndex.IndexedQueue;
  readonly method: string;
  /** Path and query at the backend server. */
  readonly path: string;
  readonly headers: nodeHttp.OutgoingHttpHeaders;
  readonly body: Buffer;
  readonly repeatable: boolean;
  /** The digest of the presented key; null on an open queue without one. */
  readonly keyDigest: Buffer | null;
  readonly idempotencyKey: string | null;
  /** When the caller stops waiting for the answer, in the clock's time. */
  readonly deadlineAtMs: number;
}

/** How a request ended. */
export interface JobEnd {
  readonly outcome: http.Outcome;
  readonly status: number | null;
}

/** An admitted request with its attempts, its outcome and the answer to its caller. */
export class RequestJob {
  readonly request: AdmittedRequest;
  readonly answer: callerAnswer.CallerAnswer;
  /** The backend servers on which an attempt has failed. */
  readonly tried = new Set<string>();
  readonly outcome = new policy.outcome.OutcomeTracker();
  readonly #onEnd: (end: JobEnd) => void;
  attempts = 0;
  #ended = false;

  constructor(
    request: AdmittedRequest,
    answer: callerAnswer.CallerAnswer,
    { onEnd }: { onEnd: (end: JobEnd) => void },
  ) {
    this.request = request;
    this.answer = answer;
    this.#onEnd = onEnd;
  }

  get ended(): boolean {
    return this.#ended;
  }

  /**
   * Refuses the request with the outcome that its attempts determine, and ends it. Breaks the
   * connection if an answer has started.
   */
  refuse(type: policy.outcome.RefusalType): http.Outcome {
    const outcome = this.outcome.refusalOutcome();
    if (this.#ended) return outcome;
    if (this.answer.started) this.answer.destroy();
    else this.answer.refuse({ type, outcome });
    this.end({ outcome, status: null });
    return outcome;
  }

  /** Ends the request; later calls have no effect. */
  end(end: JobEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#onEnd(end);
  }
}
