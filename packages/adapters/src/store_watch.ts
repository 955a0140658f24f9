/**
 * A watch of the store: a streamed response that is requested again whenever it ends.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as undici from "undici";
import * as v from "valibot";
import { BackOff } from "./back_off.ts";
import * as codec from "./gateway_codec.ts";

/** Options of {@link StoreWatch}. */
export interface StoreWatchOptions {
  readonly pool: undici.Pool;
  readonly headers: Record<string, string>;
  readonly prefix: string;
  readonly onChange: () => void;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly random: () => number;
}

/** A stream is replaced after this time, in case its connection was lost unnoticed. */
const MAX_WATCH_MS = 300_000;
const RECONNECT_BASE_MS = 200;
const RECONNECT_CAP_MS = 5_000;
const HTTP_OK = 200;

/**
 * Calls `onChange` at each event, and after each connection, as changes may have been missed
 * before.
 */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #backOff: BackOff;
  #abort: AbortController | null = null;
  #cancelTimer: () => void = () => {};
  #isStopped = false;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
    this.#backOff = new BackOff({
      random: options.random,
      baseMs: RECONNECT_BASE_MS,
      capMs: RECONNECT_CAP_MS,
    });
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer();
    this.#abort?.abort();
  }

  async #run(): Promise<void> {
    const abort = new AbortController();
    this.#abort = abort;
    this.#cancelTimer = this.#options.clock.after(MAX_WATCH_MS, () => abort.abort());
    try {
      await this.#follow(abort.signal);
    } catch (error) {
      if (!this.#isStopped) this.#logEnd((error as Error).message);
    }
    this.#cancelTimer();
    if (this.#isStopped) return;
    this.#cancelTimer = this.#options.clock.after(this.#backOff.nextDelayMs(), () => this.start());
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const { pool, headers, prefix, onChange } = this.#options;
    const key = codec.encodeBytes(prefix);
    const createRequest = { key, range_end: codec.prefixEnd(prefix) };
    const response = await pool.request({
      method: "POST",
      path: "/v3/watch",
      headers,
      body: JSON.stringify({ create_request: createRequest }),
      headersTimeout: 0,
      bodyTimeout: 0,
      signal,
    });
    if (response.statusCode !== HTTP_OK) {
      await response.body.dump();
      this.#logEnd(`status ${response.statusCode}`);
      return;
    }
    this.#backOff.reset();
    onChange();
    await this.#readLines(response.body);
  }

  async #readLines(body: AsyncIterable<Buffer>): Promise<void> {
    let rest = "";
    for await (const chunk of body) {
      const lines = (rest + chunk.toString("utf8")).split("\n");
      rest = lines.pop() ?? "";
      if (lines.some(hasEvents) && !this.#isStopped) this.#options.onChange();
    }
  }

  #logEnd(reason: string): void {
    this.#options.log.debug("Store watch ended", { prefix: this.#options.prefix, reason });
  }
}

/**
 * Whether a line contains changes. A malformed line counts, as spurious notifications are harmless.
 */
function hasEvents(line: string): boolean {
  if (line.trim() === "") return false;
  try {
    const parsed = v.safeParse(codec.watchLineSchema, JSON.parse(line));
    return !parsed.success || parsed.output.result.events.length > 0;
  } catch {
    return true;
  }
}
