/**
 * The newest configuration, and how long ago the store confirmed that it is the newest.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { pause } from "./pause.ts";

/** A change is in force within two of these, also where the store is slow. */
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
 * Asks the store in a loop whether the known revision is still the newest: a transaction that only has a
 * condition is a linearizable read that carries the document only when it has changed.
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

  /** When the store was last asked and confirmed that the configuration is the newest one. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** The age of the knowledge that the configuration is the newest one. */
  ageMs(): number {
    return this.#options.clock.nowMs() - this.#confirmedAtMs;
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isConfirmed = await this.#check();
      await pause(isConfirmed ? CHECK_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #check(): Promise<boolean> {
    const { store, documents, clock, log } = this.#options;
    const askedAtMs = clock.nowMs();
    const answer = await store.transact({
      conditions: [{ key: documents.configKey, revision: this.#revision }],
      puts: [],
      removes: [],
    });
    if (answer.isErr()) {
      log.debug("Configuration not confirmed", { reason: answer.error.message });
      return false;
    }
    if (answer.value.kind === "conflict") {
      const item = answer.value.items.find(({ key }) => key === documents.configKey);
      if (item === undefined || item.revision <= this.#revision) {
        log.warn("Configuration answer has no newer item", { revision: item?.revision });
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
      log.error("Configuration not understood", {
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
