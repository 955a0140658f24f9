/**
 * Follows the configuration in the store, and tells how long ago the store confirmed that it is the latest.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { pause } from "./pause.ts";

/** A change takes effect within two of these intervals, even if the store is slow. */
const CHECK_INTERVAL_MS = 700;
const RETRY_INTERVAL_MS = 150;

export interface ConfigFollowerOptions {
  readonly store: ports.scheduling.SchedulingStore;
  readonly documents: ports.scheduling.Documents;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly onChange: (config: schema.scheduling.SchedulingConfig) => void;
}

/**
 * Periodically checks that the known revision is still the latest. The check is a transaction with nothing
 * but a condition: a linearizable read that returns the document only if it has changed.
 */
export class ConfigFollower {
  readonly #options: ConfigFollowerOptions;
  #config: schema.scheduling.SchedulingConfig | undefined;
  #revision = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  constructor(options: ConfigFollowerOptions) {
    this.#options = options;
  }

  get config(): schema.scheduling.SchedulingConfig | undefined {
    return this.#config;
  }

  /** When the last request was sent that confirmed the configuration as the latest. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** Time since the configuration was last known to be the latest, in ms. */
  ageMs(): number {
    return this.#options.clock.nowMs() - this.#confirmedAtMs;
  }

  /** Checks the configuration until the follower is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isConfirmed = await this.#check();
      await pause(isConfirmed ? CHECK_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Checks once, and applies a newer configuration; false if none is known or the store did not confirm it. */
  async #check(): Promise<boolean> {
    const { store, documents, clock, log } = this.#options;
    const askedAtMs = clock.nowMs();
    const answer = await store.transact({
      conditions: [{ key: documents.configKey, revision: this.#revision }],
      puts: [],
      removes: [],
    });
    if (answer.isErr()) {
      log.debug("Could not confirm the configuration", { reason: answer.error.message });
      return false;
    }
    if (answer.value.kind === "conflict") {
      const item = answer.value.items.find(({ key }) => key === documents.configKey);
      if (item === undefined || item.revision <= this.#revision) {
        log.warn("Configuration check returned no newer item", { revision: item?.revision });
        return false;
      }
      this.#applyConfigItem(item);
    }
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, askedAtMs);
    return this.#config !== undefined;
  }

  #applyConfigItem(item: ports.scheduling.StoreItem): void {
    const { documents, log, onChange } = this.#options;
    const decoded = documents.decodeConfig(item.value);
    if (decoded.isErr()) {
      log.error("Could not decode the configuration", {
        revision: item.revision,
        reason: decoded.error.message,
      });
      return;
    }
    this.#revision = item.revision;
    this.#config = decoded.value;
    log.info("Configuration in force", {
      version: decoded.value.version,
      revision: item.revision,
      queues: decoded.value.queues.length,
    });
    onChange(decoded.value);
  }
}
