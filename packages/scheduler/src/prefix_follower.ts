/**
 * Follows all items below a prefix of the store, by watches and by lists where watches may have missed some.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { pause } from "./pause.ts";

/** A watch may fall silent for good, so that only its return shows that it still hears. */
const WATCH_WAIT_MS = 2_000;
/** Watches may miss what was changed while history was dropped; a list shows it. */
const LIST_INTERVAL_MS = 5_000;
/** How often items that are known to be there are looked for. */
const INCOMPLETE_LIST_INTERVAL_MS = 500;
/** Changes that come close together share a call; 246 workers write 160 heartbeats a second. */
const BATCH_WINDOW_MS = 50;
const RETRY_INTERVAL_MS = 200;

/** What is done with the items. */
export interface FollowerHandlers {
  /** All items; those that are missing are gone. */
  readonly onList: (items: readonly ports.scheduling.StoreItem[]) => void;
  readonly onChange: (change: ports.scheduling.StoreChange) => void;
  /** Whether something is known to be there that the watch has not shown. */
  readonly mayBeIncomplete: () => boolean;
}

export interface PrefixFollowerOptions {
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly prefix: string;
  readonly handlers: FollowerHandlers;
}

/** One prefix, from a revision on. */
export class PrefixFollower {
  readonly #options: PrefixFollowerOptions;
  #listedAtMs: number;
  #isStopped = false;

  constructor(options: PrefixFollowerOptions) {
    this.#options = options;
    this.#listedAtMs = options.clock.nowMs();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async run(fromRevision: number): Promise<void> {
    for (let after = fromRevision; !this.#isStopped;) {
      after = await this.#watch(after);
      if (!this.#isStopped && this.#isListDue()) {
        after = await this.#list(after);
      }
    }
  }

  /** Returns the revision to go on from. */
  async #watch(after: number): Promise<number> {
    const { store, log, prefix, handlers } = this.#options;
    const waitMs = handlers.mayBeIncomplete() ? INCOMPLETE_LIST_INTERVAL_MS : WATCH_WAIT_MS;
    const watched = await store.watch(prefix, after, waitMs);
    if (this.#isStopped) {
      return after;
    }
    if (watched.isOk() && watched.value.kind === "changes") {
      watched.value.changes.forEach((change) => handlers.onChange(change));
      await pause(BATCH_WINDOW_MS);
      return watched.value.asOfRevision;
    }
    log.info("Watch is read anew", {
      prefix,
      reason: watched.isErr() ? watched.error.message : "history dropped",
    });
    this.#listedAtMs = Number.NEGATIVE_INFINITY;
    return after;
  }

  #isListDue(): boolean {
    const ageMs = this.#options.clock.nowMs() - this.#listedAtMs;
    const isIncomplete = this.#options.handlers.mayBeIncomplete();
    return ageMs >= (isIncomplete ? INCOMPLETE_LIST_INTERVAL_MS : LIST_INTERVAL_MS);
  }

  async #list(after: number): Promise<number> {
    const { store, clock, prefix, handlers } = this.#options;
    const items = await store.list(prefix);
    if (items.isErr() || this.#isStopped) {
      await pause(RETRY_INTERVAL_MS);
      return after;
    }
    this.#listedAtMs = clock.nowMs();
    handlers.onList(items.value.items);
    return items.value.asOfRevision;
  }
}
