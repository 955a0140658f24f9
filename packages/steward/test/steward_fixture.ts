/**
 * Starts a stand-in platform and stewards as processes, with a published configuration.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import * as v from "valibot";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";

/** The key of team `facilitators`. */
export const TEAM_KEY = "facilitators-secret";
/** The most VMs of pool `boards` that may be unavailable at once. */
export const MAX_UNAVAILABLE = 2;
const VM_COUNT = 8;
const RACK_COUNT = 4;

/** A started steward. */
export interface RunningSteward {
  readonly program: testing.processes.ChildProgram;
  readonly callerUrl: string;
  readonly operatorUrl: string;
}

/** What the platform recorded: the events, and the number of starts by task id. */
export interface Witness {
  readonly events: readonly testing.fleetModel.WitnessEvent[];
  readonly starts: Readonly<Record<string, number>>;
}

/** One platform with several stewards. Call `stop` in the test's cleanup. */
export class StewardFixture {
  readonly #processes = new testing.processes.Processes();
  readonly #directory = mkdtempSync(path.join(tmpdir(), "jackdawlink-steward-"));
  #platformUrl = "";
  #store: adapters.platformStore.PlatformStore | undefined;

  /** Starts the platform with its VMs and workers. */
  async start(setup: Partial<testing.fleetModel.FleetSetup> = {}): Promise<void> {
    const program = await this.#processes.start("stand-in-platform");
    this.#platformUrl = `http://${program.ready?.["address"]}`;
    await this.control("PUT", "/fleet", { vms: vmSetups(), workers: workerSetups(), ...setup });
  }

  /** Publishes the base configuration with the given waves, the way operators' changes are. */
  async publish(maintenanceWaves: schema.config.ConfigInput["maintenanceWaves"]): Promise<void> {
    const clock = new adapters.clock.SystemClock();
    const log = adapters.log.SILENT_LOG;
    this.#store ??= new adapters.platformStore.PlatformStore({
      settings: v.parse(schema.settings.storeSchema, { url: this.#platformUrl }),
      clock,
      log,
    });
    const store = this.#store;
    const headRepository = new adapters.headRepository.HeadRepository({ store, clock, log });
    const configs = new adapters.configRepository.ConfigRepository({ store, headRepository });
    const base = (await configs.read())._unsafeUnwrap();
    const config = v.parse(schema.config.configSchema, { ...baseConfig(), maintenanceWaves });
    const publication = { base, config, author: "operator", summary: "Test" };
    (await configs.publish(publication))._unsafeUnwrap();
  }

  async startSteward(stewardId: string): Promise<RunningSteward> {
    const file = path.join(this.#directory, `${stewardId}.toml`);
    writeFileSync(file, settingsText(stewardId, this.#platformUrl));
    const program = await this.#processes.start("jackdawlink-steward", {
      args: ["--settings", file],
    });
    const callerUrl = `http://${program.ready?.["callerAddress"]}`;
    const operatorUrl = `http://${program.ready?.["operatorAddress"]}`;
    await testing.waitFor.waitFor(
      "a ready steward",
      async () => (await fetch(`${operatorUrl}/readyz`)).status === 200,
    );
    return { program, callerUrl, operatorUrl };
  }

  /** Calls a control route of the platform. */
  async control(method: "PUT" | "POST", route: string, body: unknown): Promise<void> {
    const headers = { "content-type": "application/json" };
    const answer = await fetch(`${this.#platformUrl}${route}`, {
      method,
      headers,
      body: JSON.stringify(body),
    });
    await answer.text();
  }

  async witness(): Promise<Witness> {
    return await (await fetch(`${this.#platformUrl}/fleet/witness`)).json() as Witness;
  }

  /** Reads the records with a key prefix from the store. */
  async records<TSchema extends v.GenericSchema>(
    prefix: string,
    recordSchema: TSchema,
  ): Promise<v.InferOutput<TSchema>[]> {
    const values = await this.#store?.list(prefix);
    return (values?.unwrapOr([]) ?? []).map(({ value }) =>
      v.parse(recordSchema, JSON.parse(value))
    );
  }

  async wave(name: string): Promise<schema.fleet.WaveRecord | undefined> {
    const waves = await this.records(
      schema.storeKeys.WAVE_PREFIX,
      schema.fleet.waveRecordSchema,
    );
    return waves.find((wave) => wave.wave === name);
  }

  async stop(): Promise<void> {
    await this.#processes.stopAll();
    rmSync(this.#directory, { recursive: true });
  }
}

/** Sends a request with the team's key. */
export async function callAsTeam(
  url: string,
  { method, body, key = TEAM_KEY }: { method: string; body?: unknown; key?: string },
): Promise<{ status: number; body: Record<string, unknown> }> {
  const answer = await fetch(url, {
    method,
    headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return { status: answer.status, body: await answer.json() as Record<string, unknown> };
}

function baseConfig(): schema.config.ConfigInput {
  const secretSha256 = createHash("sha256").update(TEAM_KEY).digest("hex");
  return {
    workspaces: { "boardwise": {} },
    teams: { "facilitators": { workspace: "boardwise" } },
    keys: { "facilitators-key": { team: "facilitators", secretSha256 } },
    pools: { "boards": {}, "backoffice": { spare: true } },
    services: { "packs": { pool: "boards" } },
    backendServers: Object.fromEntries(
      vmSetups().map(({ vm, availabilityZone, rack }, index) => [
        `packs-${index}`,
        { service: "packs", address: `127.0.0.1:${9_000 + index}`, vm, availabilityZone, rack },
      ]),
    ),
    shares: { "facilitators-boards": { team: "facilitators", pool: "boards", weight: 1 } },
    limits: { "facilitators-limit": { team: "facilitators", maxRunningTasks: 3 } },
    availabilityBudgets: {
      "boards-budget": { pool: "boards", maxUnavailable: MAX_UNAVAILABLE },
    },
  };
}

/** Two VMs to a rack, two racks to an availability zone. */
function vmSetups(): readonly { vm: string; availabilityZone: string; rack: string }[] {
  return Array.from({ length: VM_COUNT }, (_, index) => ({
    vm: `vm-${index}`,
    availabilityZone: `zone-${index % RACK_COUNT % 2}`,
    rack: `rack-${index % RACK_COUNT}`,
  }));
}

function workerSetups(): readonly object[] {
  return vmSetups().slice(0, RACK_COUNT).map(({ availabilityZone, rack }, index) => ({
    worker: `worker-${index}`,
    availabilityZone,
    rack,
    cores: 4,
    memoryMb: 8_192,
  }));
}

function settingsText(stewardId: string, platformUrl: string): string {
  return `stewardId = "${stewardId}"
availabilityZone = "zone-0"
operatorAddress = "127.0.0.1:0"
callerAddress = "127.0.0.1:0"
platformUrl = "${platformUrl}"
roundMs = 50
leaseSeconds = 2
markSettleMs = 100
store = { url = "${platformUrl}", readsPerSecond = 500, writesPerSecond = 500, timeoutMs = 500 }
log = { format = "json" }
`;
}
