/**
 * Runs entry processes with a published configuration for the measurements of whole entries.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import type * as schema from "@jackdawlink/schema";
import * as schemas from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as v from "valibot";

/** The number of calls of each kind that the store has counted. */
export type StoreCalls = Readonly<Record<testing.platformFaults.CallKind, number>>;

const AVAILABILITY_ZONES = Array.from({ length: 8 }, (_, index) => `zone-${index + 1}`);
/**
 * High enough that the call budget of the publisher, a single client, never delays a measurement.
 */
const PUBLISHER_CALLS_PER_SECOND = 1_000;
const SETTLE_MS = 4_000;
const POLL_MS = 10;

/** A test system with an in-process publisher, so that no command line process is needed. */
export class RunningSystem {
  readonly system: testing.testSystem.TestSystem;
  #publisher: Publisher | null = null;
  #record: adapters.configRepository.ConfigRecord | null = null;

  constructor(entryCount: number) {
    this.system = new testing.testSystem.TestSystem({
      availabilityZones: AVAILABILITY_ZONES,
      entryCount,
      entrySettings: { log: { level: "warn" } },
    });
  }

  /** The processes of the entries. */
  get programs(): readonly testing.processes.ChildProgram[] {
    return this.system.entries.map(({ program }) => program);
  }

  /** Starts the entries, publishes a configuration, and waits until start-up work is over. */
  async start(config: schema.config.Config): Promise<void> {
    await this.system.start();
    this.#publisher = makePublisher(this.system.platformUrl);
    const read = await this.#publisher.configs.read();
    this.#record = read._unsafeUnwrap();
    await this.publish(config);
    await pause(SETTLE_MS);
  }

  /** Publishes a configuration; returns the milliseconds until all entries report its revision. */
  async publish(config: schema.config.Config): Promise<number> {
    const startedAtMs = performance.now();
    const published = await this.#publisher!.configs.publish({
      base: this.#record!,
      config,
      author: "capacity",
      summary: "measured change",
    });
    this.#record = published._unsafeUnwrap();
    await this.#waitForRevision(this.#record.head.revision);
    return performance.now() - startedAtMs;
  }

  /** The calls since the start of the store. */
  async storeCalls(): Promise<StoreCalls> {
    const answer = await fetch(`${this.system.platformUrl}/control/counters`);
    const { byKind } = await answer.json() as { byKind: StoreCalls };
    return byKind;
  }

  async stop(): Promise<void> {
    await this.#publisher?.store.close();
    await this.system.stop();
  }

  async #waitForRevision(revision: number): Promise<void> {
    const [first] = this.system.entries;
    for (;;) {
      const { members } = await this.system.statusOf(first!);
      if (members.every((member) => member.revision >= revision)) return;
      await pause(POLL_MS);
    }
  }
}

interface Publisher {
  readonly store: adapters.platformStore.PlatformStore;
  readonly configs: adapters.configRepository.ConfigRepository;
}

function makePublisher(url: string): Publisher {
  const clock = new adapters.clock.SystemClock();
  const log = { debug() {}, info() {}, warn() {}, error() {} };
  const settings = v.parse(schemas.settings.storeSchema, {
    url,
    readsPerSecond: PUBLISHER_CALLS_PER_SECOND,
    writesPerSecond: PUBLISHER_CALLS_PER_SECOND,
  });
  const store = new adapters.platformStore.PlatformStore({ settings, clock, log });
  const headRepository = new adapters.headRepository.HeadRepository({ store, clock, log });
  const configs = new adapters.configRepository.ConfigRepository({ store, headRepository });
  return { store, configs };
}

/** Waits between measurements or polls; not for use in place of waiting for a condition. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
