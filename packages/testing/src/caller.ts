/**
 * A caller that sends requests to entries over HTTP.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as undici from "undici";

/** One request of a caller. */
export interface CallerRequest {
  readonly entryUrl: string;
  readonly queue: string;
  /** The path and query at the backend server. */
  readonly path: string;
  readonly key?: string;
  readonly method?: undici.Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** The answer to a request; `broken` if the connection ended before the whole answer arrived. */
export interface CallerAnswer {
  readonly outcome: schema.http.Outcome | "broken";
  readonly status: number | null;
  readonly requestId: string | null;
  readonly body: string;
}

/** Sends requests over keep-alive connections. */
export class Caller {
  readonly #agent: undici.Agent;

  constructor({ connectionsPerEntry = 256 }: { connectionsPerEntry?: number } = {}) {
    this.#agent = new undici.Agent({
      connections: connectionsPerEntry,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends one request. It never rejects: failures are returned as `broken`. */
  async send(request: CallerRequest): Promise<CallerAnswer> {
    const { entryUrl, queue, path, key, method = "GET", headers = {}, body } = request;
    const authorization = key === undefined ? {} : { authorization: `Bearer ${key}` };
    try {
      const answer = await undici.request(
        `${entryUrl}${schema.http.QUEUE_PATH_PREFIX}${queue}${path}`,
        { dispatcher: this.#agent, method, headers: { ...authorization, ...headers }, body },
      );
      const text = await answer.body.text();
      return {
        outcome: answer.headers[schema.http.OUTCOME_HEADER] as schema.http.Outcome,
        status: answer.statusCode,
        requestId: String(answer.headers[schema.http.REQUEST_ID_HEADER] ?? ""),
        body: text,
      };
    } catch {
      return { outcome: "broken", status: null, requestId: null, body: "" };
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
