/**
 * What one run of a command works with.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import { OperatorClient } from "./operator_client.ts";

/** The environment variable that names the settings file. */
export const SETTINGS_VARIABLE = "JACKDAWLINK_SETTINGS";

/** A command tries to read the configuration for this many time-outs of the store. */
const READ_TIMEOUTS = 3;

/** The store and the processes that the settings name. */
export class Session {
  readonly settings: schema.settings.CliSettings;
  readonly clock = new adapters.clock.SystemClock();
  readonly headRepository: adapters.headRepository.HeadRepository;
  readonly configRepository: adapters.configRepository.ConfigRepository;
  readonly operators = new OperatorClient();
  readonly #store: adapters.platformStore.PlatformStore;

  constructor(settings: schema.settings.CliSettings) {
    this.settings = settings;
    const log = adapters.log.SILENT_LOG;
    const clock = this.clock;
    const clientId = `jackdawlink-${settings.operator}`;
    this.#store = new adapters.platformStore.PlatformStore({
      settings: settings.store,
      clock,
      log,
      clientId,
    });
    const store = this.#store;
    this.headRepository = new adapters.headRepository.HeadRepository({ store, clock, log });
    this.configRepository = new adapters.configRepository.ConfigRepository({
      store,
      headRepository: this.headRepository,
    });
  }

  /** Reads the newest configuration, again and again while the store doesn't answer. */
  async readConfig(): Promise<
    Result<adapters.configRepository.ConfigRecord, schema.errors.JackdawlinkError>
  > {
    const deadlineMs = this.clock.nowMs() + READ_TIMEOUTS * this.settings.store.timeoutMs;
    for (;;) {
      const record = await this.configRepository.read();
      const isFinal = record.isOk() ||
        !(record.error instanceof schema.errors.StoreUnavailableError);
      if (isFinal || this.clock.nowMs() >= deadlineMs) return record;
    }
  }

  async close(): Promise<void> {
    await this.#store.close();
    await this.operators.close();
  }
}

/** Opens a session with the settings of a file; without one the environment names it. */
export function openSession(
  settingsFile: string | undefined,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Session, schema.errors.JackdawlinkError> {
  const file = settingsFile ?? environment[SETTINGS_VARIABLE];
  if (file === undefined) {
    const message = `No settings file is given by --settings or ${SETTINGS_VARIABLE}`;
    return err(new schema.errors.InvalidInputError(message));
  }
  return adapters.settings.readSettings(file, schema.settings.cliSettingsSchema)
    .andThen((settings) => ok(new Session(settings)));
}
