/**
 * Follows all items with a key prefix in the store, with a watch and with periodic lists for changes that
 * the watch has missed.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { guard } from "./guard.ts";
import { pause } from "./pause.ts";

/** A watch can silently stop delivering changes and only its return shows that it still works. */
const WATCH_WAIT_MS = 2_000;
/** A watch may miss changes while the store drops its history; a list includes them. */
const LIST_INTERVAL_MS = 5_000;
/** The list interval while the watch is known to have missed items. */
const INCOMPLETE_LIST_INTERVAL_MS = 500;
/** Changes within this time share a watch request; 246 workers write 160 heartbeats a second. */
const BATCH_WINDOW_MS = 50;
const RETRY_INTERVAL_MS = 200;

/** Callbacks for the items of a prefix. */
export interface FollowerHandlers {
  /**
   * Called with a complete list, which was requested at `askedAtMs` on the clock's upper reading; items that
   * it lacks have been deleted.
   */
  readonly onList: (items: readonly ports.scheduling.StoreItem[], askedAtMs: number) => void;
  /** Called with each change that the watch delivers, which was requested at `askedAtMs`. */
  readonly onChange: (change: ports.scheduling.StoreChange, askedAtMs: number) => void;
  /** Whether items are known to exist that the watch has not delivered. */
  readonly mayBeIncomplete: () => boolean;
}

export interface PrefixFollowerOptions {
  readonly store: ports.scheduling.SchedulingStore;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly prefix: string;
  readonly handlers: FollowerHandlers;
}

/** Follows one prefix from a given revision. */
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

  /** Waits for changes once; returns the revision to continue from. */
  async #watch(after: number): Promise<number> {
    const { store, clock, log, prefix, handlers } = this.#options;
    const askedAtMs = clock.nowMs();
    const waitMs = handlers.mayBeIncomplete() ? INCOMPLETE_LIST_INTERVAL_MS : WATCH_WAIT_MS;
    const watched = await store.watch(prefix, after, waitMs);
    if (this.#isStopped) {
      return after;
    }
    if (watched.isOk() && watched.value.kind === "changes") {
      watched.value.changes.forEach((change) =>
        guard(() => handlers.onChange(change, askedAtMs), { log, key: change.key })
      );
      await pause(BATCH_WINDOW_MS);
      return watched.value.asOfRevision;
    }
    log.info("Watch ended, listing again", {
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

  /** Lists all items; returns the revision to continue from. */
  async #list(after: number): Promise<number> {
    const { store, clock, log, prefix, handlers } = this.#options;
    const askedAtMs = clock.nowMs();
    const items = await store.list(prefix);
    if (items.isErr() || this.#isStopped) {
      await pause(RETRY_INTERVAL_MS);
      return after;
    }
    this.#listedAtMs = clock.nowMs();
    guard(() => handlers.onList(items.value.items, askedAtMs), { log, key: prefix });
    return items.value.asOfRevision;
  }
}
