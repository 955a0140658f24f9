/**
 * Sends the requests of a load specification and records their outcomes and latencies.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as undici from "undici";
import * as uuid from "uuid";
import * as arrivals from "./arrivals.ts";
import type * as loadSpec from "./load_spec.ts";

/** Above the concurrency of any experiment, since an open loop must not wait for connections. */
const MAX_CONNECTIONS_PER_ADDRESS = 2_048;
const START_DELAY_MS = 100;
/** Requests that are unanswered this long after the last one was sent count as broken. */
const RESPONSE_TIMEOUT_MS = 5_000;

/** A request and its intended send time. */
interface ScheduledRequest {
  readonly name: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly withIdempotencyKey: boolean;
  readonly atMs: number;
}

type Answer = Pick<loadSpec.RequestResult, "outcome" | "status">;

/** Runs one load specification once. */
export class LoadGenerator {
  readonly #spec: loadSpec.LoadSpec;
  readonly #agent = new undici.Agent({
    connections: MAX_CONNECTIONS_PER_ADDRESS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #results: loadSpec.RequestResult[] = [];
  readonly #inFlight = new Set<Promise<void>>();
  #startMs = 0;

  constructor(spec: loadSpec.LoadSpec) {
    this.#spec = spec;
  }

  /** Sends all requests, and resolves once each is answered or has timed out. */
  async run(): Promise<loadSpec.LoadResult> {
    const scheduled = this.#spec.streams.flatMap(scheduledRequestsOf);
    scheduled.sort((left, right) => left.atMs - right.atMs);
    this.#startMs = performance.now() + START_DELAY_MS;
    const startedAtWallMs = Date.now() + START_DELAY_MS;
    await Promise.all([
      this.#sendScheduled(scheduled),
      ...this.#spec.loops.map((loop) => this.#runClosedLoop(loop)),
    ]);
    await Promise.race([Promise.all(this.#inFlight), sleep(RESPONSE_TIMEOUT_MS)]);
    await this.#agent.destroy();
    await Promise.all(this.#inFlight);
    return { startedAtWallMs, requests: this.#results };
  }

  async #sendScheduled(scheduled: readonly ScheduledRequest[]): Promise<void> {
    for (const request of scheduled) {
      await this.#sleepUntil(request.atMs);
      const sent = this.#send(request).finally(() => this.#inFlight.delete(sent));
      this.#inFlight.add(sent);
    }
  }

  async #runClosedLoop(
    { name, urls, headers, concurrency, startMs, endMs }: loadSpec.Loop,
  ): Promise<void> {
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

  async #send({ name, url, headers, withIdempotencyKey, atMs }: ScheduledRequest): Promise<void> {
    const key: Record<string, string> = withIdempotencyKey
      ? { [schema.http.IDEMPOTENCY_KEY_HEADER]: uuid.v7() }
      : {};
    const answer = await this.#sendOnce(url, { ...headers, ...key });
    this.#results.push({
      name,
      intendedAtMs: atMs,
      latencyMs: this.#nowMs() - atMs,
      ...answer,
    });
  }

  async #sendOnce(url: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
    try {
      const answer = await undici.request(url, { dispatcher: this.#agent, headers });
      await answer.body.arrayBuffer();
      const outcome = answer.headers[schema.http.OUTCOME_HEADER] ?? "direct";
      return { outcome: outcome as Answer["outcome"], status: answer.statusCode };
    } catch {
      return { outcome: "broken", status: null };
    }
  }

  /** Milliseconds since the start of the load. */
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

function scheduledRequestsOf(stream: loadSpec.Stream): ScheduledRequest[] {
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
