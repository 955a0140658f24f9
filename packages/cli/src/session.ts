/**
 * The settings and clients that one run of a command uses.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import { OperatorClient } from "./operator_client.ts";

/** The environment variable that names the settings file. */
export const SETTINGS_VARIABLE = "JACKDAWLINK_SETTINGS";

/** A command retries reading the configuration for this many store time-outs. */
const READ_TIMEOUTS = 3;

/** The clients for the store and the processes in the settings. */
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

  /** Reads the newest configuration; retries for a limited time while the store is unavailable. */
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

/** Opens a session with the given settings file, or else with the one named in the environment. */
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
