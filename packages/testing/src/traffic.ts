/**
 * Callers that send requests in loops while a test brings faults about.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as schema from "@jackdawlink/schema";
import { Caller } from "./caller.ts";
import type { CompletedRequest } from "./witness.ts";

/** What is sent. */
export interface TrafficOptions {
  /** Where requests enter; a loop stays with its entry. */
  readonly entryUrls: readonly string[];
  readonly queues: readonly string[];
  readonly teams: readonly { readonly team: string; readonly key: string }[];
  /** Concurrent loops for each pair of entry and team. */
  readonly loopsPerEntryAndTeam: number;
  readonly runMs: number;
  readonly seed: number;
  /** How many of a hundred requests may not be repeated. */
  readonly unrepeatablePercent?: number;
  /** How long callers wait. */
  readonly deadlineMs?: number;
  /** Whether requests are sent to an entry at the moment; always without it. */
  readonly isReady?: (entryUrl: string) => boolean;
}

/** A loop that was refused waits this long, so that refusals don't become a flood. */
const PAUSE_MS = 20;
const DEFAULT_DEADLINE_MS = 5_000;
const PERCENT = 100;

/** Sends requests until it is stopped, and keeps what the callers were told. */
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

  /** Ends all loops, once their last requests are answered. */
  async stop(): Promise<readonly CompletedRequest[]> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
    await this.#caller.close();
    return this.completed;
  }

  /** How many requests ended with an outcome, or were answered by entries since a time. */
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
