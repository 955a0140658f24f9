/**
 * Sends the requests of a load specification and keeps what became of them.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as undici from "undici";
import * as uuid from "uuid";
import * as arrivals from "./arrivals.ts";
import type * as loadSpec from "./load_spec.ts";

/** More than any experiment keeps open; an open loop must not wait for connections. */
const MAX_CONNECTIONS_PER_ADDRESS = 2_048;
const START_DELAY_MS = 100;
/** Requests without an answer so long after the last was sent count as broken. */
const GIVE_UP_MS = 5_000;

/** One request with the time at which it should be sent. */
interface DueRequest {
  readonly name: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly withIdempotencyKey: boolean;
  readonly atMs: number;
}

type Answer = Pick<loadSpec.RequestResult, "outcome" | "status">;

/** Runs one load specification. */
export class LoadGenerator {
  readonly #spec: loadSpec.LoadSpec;
  readonly #agent = new undici.Agent({
    connections: MAX_CONNECTIONS_PER_ADDRESS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #requests: loadSpec.RequestResult[] = [];
  readonly #open = new Set<Promise<void>>();
  #startMs = 0;

  constructor(spec: loadSpec.LoadSpec) {
    this.#spec = spec;
  }

  /** Sends everything, and resolves once everything is answered or given up. */
  async run(): Promise<loadSpec.LoadResult> {
    const due = this.#spec.streams.flatMap(dueRequestsOf);
    due.sort((left, right) => left.atMs - right.atMs);
    this.#startMs = performance.now() + START_DELAY_MS;
    const startedAtWallMs = Date.now() + START_DELAY_MS;
    await Promise.all([this.#sendDue(due), ...this.#spec.loops.map((loop) => this.#loop(loop))]);
    await Promise.race([Promise.all(this.#open), sleep(GIVE_UP_MS)]);
    await this.#agent.destroy();
    await Promise.all(this.#open);
    return { startedAtWallMs, requests: this.#requests };
  }

  async #sendDue(due: readonly DueRequest[]): Promise<void> {
    for (const request of due) {
      await this.#sleepUntil(request.atMs);
      const sent = this.#send(request).finally(() => this.#open.delete(sent));
      this.#open.add(sent);
    }
  }

  async #loop({ name, urls, headers, concurrency, startMs, endMs }: loadSpec.Loop): Promise<void> {
    await this.#sleepUntil(startMs);
    let next = 0;
    const sendUntilEnd = async () => {
      while (this.#nowMs() < endMs) {
        const url = urls[next % urls.length]!;
        next += 1;
        const atMs = this.#nowMs();
        await this.#send({ name, url, headers, withIdempotencyKey: false, atMs });
      }
    };
    await Promise.all(Array.from({ length: concurrency }, sendUntilEnd));
  }

  async #send({ name, url, headers, withIdempotencyKey, atMs }: DueRequest): Promise<void> {
    const key: Record<string, string> = withIdempotencyKey
      ? { [schema.http.IDEMPOTENCY_KEY_HEADER]: uuid.v7() }
      : {};
    const answer = await this.#ask(url, { ...headers, ...key });
    this.#requests.push({
      name,
      intendedAtMs: atMs,
      latencyMs: this.#nowMs() - atMs,
      ...answer,
    });
  }

  async #ask(url: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
    try {
      const answer = await undici.request(url, { dispatcher: this.#agent, headers });
      await answer.body.arrayBuffer();
      const outcome = answer.headers[schema.http.OUTCOME_HEADER] ?? "direct";
      return { outcome: outcome as Answer["outcome"], status: answer.statusCode };
    } catch {
      return { outcome: "broken", status: null };
    }
  }

  /** Time since the start of the load. */
  #nowMs(): number {
    return performance.now() - this.#startMs;
  }

  async #sleepUntil(atMs: number): Promise<void> {
    const delayMs = atMs - this.#nowMs();
    if (delayMs <= 0) return;
    await sleep(delayMs);
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

function dueRequestsOf(stream: loadSpec.Stream): DueRequest[] {
  return arrivals.generateArrivals(stream).map(({ atMs, urlIndex, runMs }) => ({
    name: stream.name,
    url: withRunTime(stream.urls[urlIndex]!, runMs),
    headers: stream.headers,
    withIdempotencyKey: stream.withIdempotencyKeys,
    atMs,
  }));
}

function withRunTime(url: string, runMs: number | null): string {
  return runMs === null ? url : `${url}?runMs=${runMs.toFixed(1)}`;
}
