/**
 * Generates load: callers that send requests in loops while a test injects faults.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as schema from "@jackdawlink/schema";
import { Caller } from "./caller.ts";
import type { CompletedRequest } from "./witness.ts";

/** Options of the load. */
export interface TrafficOptions {
  /** The entries to send to. Each loop uses a single entry. */
  readonly entryUrls: readonly string[];
  readonly queues: readonly string[];
  readonly teams: readonly { readonly team: string; readonly key: string }[];
  /** Concurrent loops for each pair of entry and team. */
  readonly loopsPerEntryAndTeam: number;
  readonly runMs: number;
  readonly seed: number;
  /** Percentage of requests that are not repeatable. */
  readonly unrepeatablePercent?: number;
  /** Deadline of each request. */
  readonly deadlineMs?: number;
  /** Whether an entry accepts requests now; by default always. */
  readonly isReady?: (entryUrl: string) => boolean;
}

/** Pause of a loop after a request that was not answered, so that refusals do not cause a flood. */
const PAUSE_MS = 20;
const DEFAULT_DEADLINE_MS = 5_000;
const PERCENT = 100;

/** Sends requests until it is stopped, and collects the answers. */
export class Traffic {
  readonly completed: CompletedRequest[] = [];
  readonly #options: TrafficOptions;
  readonly #caller = new Caller();
  readonly #loops: Promise<void>[] = [];
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  #isStopped = false;
  #sequence = 0;

  constructor(options: TrafficOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Starts all loops. */
  start(): void {
    const { entryUrls, teams, loopsPerEntryAndTeam } = this.#options;
    for (const entryUrl of entryUrls) {
      for (const { team, key } of teams) {
        for (let loop = 0; loop < loopsPerEntryAndTeam; loop += 1) {
          this.#loops.push(this.#run({ entryUrl, team, key }));
        }
      }
    }
  }

  /** Stops all loops after their last answers and returns all requests. */
  async stop(): Promise<readonly CompletedRequest[]> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
    await this.#caller.close();
    return this.completed;
  }

  /** Counts the requests with an outcome that were sent since a time. */
  count(
    outcome: CompletedRequest["answer"]["outcome"],
    { sinceMs = 0 }: { sinceMs?: number } = {},
  ): number {
    return this.completed.filter(({ answer, sentAtMs }) =>
      answer.outcome === outcome && sentAtMs >= sinceMs
    ).length;
  }

  async #run(from: { entryUrl: string; team: string; key: string }): Promise<void> {
    const { isReady = () => true } = this.#options;
    while (!this.#isStopped) {
      if (!isReady(from.entryUrl)) {
        await pause();
        continue;
      }
      const request = await this.#sendOne(from);
      this.completed.push(request);
      if (request.answer.outcome !== "answered") {
        await pause();
      }
    }
  }

  async #sendOne(
    { entryUrl, team, key }: { entryUrl: string; team: string; key: string },
  ): Promise<CompletedRequest> {
    const { queues, runMs, unrepeatablePercent = 50, deadlineMs = DEFAULT_DEADLINE_MS } =
      this.#options;
    this.#sequence += 1;
    const marker = `m${this.#sequence}`;
    const isRepeatable = uniformInt(this.#random, 0, PERCENT - 1) >= unrepeatablePercent;
    const queue = queues[uniformInt(this.#random, 0, queues.length - 1)]!;
    const sentAtMs = Date.now();
    const answer = await this.#caller.send({
      entryUrl,
      queue,
      key,
      path: `/work?runMs=${runMs}&marker=${marker}`,
      method: "POST",
      body: marker,
      headers: {
        [schema.http.REPEATABLE_HEADER]: isRepeatable ? "yes" : "no",
        [schema.http.DEADLINE_HEADER]: String(deadlineMs),
      },
    });
    return { marker, team, entryUrl, isRepeatable, sentAtMs, answeredAtMs: Date.now(), answer };
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
}
