/**
 * Runs the whole system as separate processes on the loopback interface: stand-in platform, fault
 * proxy, entries, backend servers, and the command line. Each entry has its own IP address, so that
 * the fault proxy can tell connections of different entries apart.
 *
 * @module
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as schema from "@jackdawlink/schema";
import * as toml from "smol-toml";
import * as backendServerClient from "./backend_server_client.ts";
import * as exampleConfig from "./example_config.ts";
import * as faultProxy from "./fault_proxy.ts";
import type { WitnessEvent } from "./fleet_model.ts";
import { freePorts } from "./free_ports.ts";
import * as platformFaults from "./platform_faults.ts";
import * as processes from "./processes.ts";
import { waitFor } from "./wait_for.ts";
import * as v from "valibot";
import type { VmSetup } from "./vm_model.ts";
import { Witness } from "./witness.ts";

/** Output and exit code of a run of the operators' command line. */
export interface CommandOutcome {
  readonly code: number | null;
  readonly output: string;
}

/** An entry with its addresses and the settings to start it again. */
export interface EntryHandle {
  readonly memberId: string;
  readonly host: string;
  readonly availabilityZone: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly settingsFile: string;
  program: processes.ChildProgram;
}

/** Size and settings of the system. */
export interface TestSystemOptions {
  readonly availabilityZones: readonly string[];
  readonly entryCount: number;
  /** Merged into the settings of each entry. */
  readonly timing?: v.InferInput<typeof schema.settings.timingSchema>;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Settings of individual entries, merged last. */
  readonly settingsOf?: (memberId: string) => Readonly<Record<string, unknown>>;
  /** Whether entries reach the store and one another through the fault proxy. */
  readonly useFaultProxy?: boolean;
  readonly seed?: number;
}

/** The entries listen on 127.0.0.10, 127.0.0.11 and so on. */
const FIRST_ENTRY_HOST_NUMBER = 10;
/** The listening ports of one entry: callers, operators, peers. */
const PORTS_PER_ENTRY = 3;

/** Starts, controls and stops the processes of one system. */
export class TestSystem {
  readonly processes = new processes.Processes();
  readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "jackdawlink-"));
  readonly entries: EntryHandle[] = [];
  readonly backendServers = new Map<string, backendServerClient.BackendServerClient>();
  readonly #options: TestSystemOptions;
  #platformAddress = "";
  #proxy: faultProxy.FaultProxyClient | null = null;
  #proxyProgram: processes.ChildProgram | null = null;

  constructor(options: TestSystemOptions) {
    this.#options = options;
  }

  /** The address of the stand-in platform. */
  get platformUrl(): string {
    return `http://${this.#platformAddress}`;
  }

  /** The fault proxy; only with `useFaultProxy`. */
  get proxy(): faultProxy.FaultProxyClient {
    if (this.#proxy === null) {
      throw new schema.errors.JackdawlinkError("The system runs without a fault proxy");
    }
    return this.#proxy;
  }

  /** Starts the platform, the proxy and all entries, and waits until the entries can serve. */
  async start(): Promise<void> {
    const platform = await this.processes.start("stand-in-platform");
    this.#platformAddress = String(platform.ready?.["address"]);
    if (this.#options.useFaultProxy) await this.#startProxy();
    await this.#configureEntries();
    this.#writeCliSettings();
    await Promise.all(this.entries.map((entry) => this.startEntry(entry)));
    await this.waitUntilFresh();
  }

  /** Starts an entry, or restarts one that has exited. */
  async startEntry(entry: EntryHandle): Promise<void> {
    entry.program = await this.processes.start("jackdawlink-entry", {
      args: ["--settings", entry.settingsFile],
    });
  }

  /** Registers the VMs of the configuration's backend servers with the platform. */
  async startFleet(
    config: schema.config.ConfigInput,
    times: Pick<VmSetup, "drainMs" | "rebootMs"> = {},
  ): Promise<void> {
    const servers = Object.values(config.backendServers ?? {});
    const vms = new Map(
      servers.map(({ vm, availabilityZone, rack = "rack" }) =>
        [vm, { vm, availabilityZone, rack, ...times }] as const
      ),
    );
    await this.setFleet([...vms.values()]);
  }

  /** Replaces the VMs of the platform. */
  async setFleet(vms: readonly VmSetup[]): Promise<void> {
    await fetch(`${this.platformUrl}/fleet`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ vms }),
    });
  }

  /** Starts a steward that reaches the platform directly. */
  async startSteward(
    stewardId: string,
    settings: Readonly<Record<string, unknown>> = {},
  ): Promise<processes.ChildProgram> {
    const file = path.join(this.directory, `${stewardId}.toml`);
    fs.writeFileSync(
      file,
      toml.stringify({
        stewardId,
        availabilityZone: this.#options.availabilityZones[0]!,
        operatorAddress: "127.0.0.1:0",
        callerAddress: "127.0.0.1:0",
        platformUrl: this.platformUrl,
        store: { url: this.platformUrl },
        ...settings,
      }),
    );
    return await this.processes.start("jackdawlink-steward", { args: ["--settings", file] });
  }

  /** Fetches the events that the platform observed on its VMs. */
  async fleetEvents(): Promise<readonly WitnessEvent[]> {
    const answer = await fetch(`${this.platformUrl}/fleet/witness`);
    return (await answer.json() as { events: readonly WitnessEvent[] }).events;
  }

  /** Starts a stand-in for each backend server; returns the configuration with their addresses. */
  async startBackendServers(
    config: schema.config.ConfigInput,
    { meanRunMs = 0 }: { meanRunMs?: number } = {},
  ): Promise<schema.config.ConfigInput> {
    const servers = Object.entries(config.backendServers ?? {});
    const started = await Promise.all(servers.map(async ([name, server]) => {
      const { slots = 8 } = server;
      const seed = this.#options.seed ?? 1;
      const client = await backendServerClient.startBackendServer(this.processes, {
        name,
        slots,
        meanRunMs,
        seed,
      });
      this.backendServers.set(name, client);
      return [name, { ...server, address: client.address }] as const;
    }));
    return { ...config, backendServers: Object.fromEntries(started) };
  }

  /** Starts the backend servers of an example configuration and publishes it; throws on rejection. */
  async publishExample(
    options: exampleConfig.ExampleOptions,
    change: (config: schema.config.ConfigInput) => schema.config.ConfigInput = (config) => config,
  ): Promise<void> {
    const config = await this.startBackendServers(exampleConfig.exampleConfig(options));
    const { code, output } = await this.apply(change(config));
    if (code !== 0) {
      throw new schema.errors.JackdawlinkError(`The configuration was not published: ${output}`);
    }
  }

  /** Publishes a configuration through the command line and waits until it is active. */
  async apply(config: schema.config.ConfigInput): Promise<CommandOutcome> {
    const file = path.join(this.directory, "config.toml");
    fs.writeFileSync(file, toml.stringify(config));
    return await this.command(["apply", file, "--wait"]);
  }

  /** Runs one command of the command line. */
  async command(args: readonly string[]): Promise<CommandOutcome> {
    const program = await this.processes.start("jackdawlink", {
      args: [...args, "--settings", this.#cliSettingsFile()],
      awaitReady: false,
    });
    const { code } = await program.exited;
    return { code, output: program.lines.join("\n") };
  }

  /** Fetches the status of an entry. */
  async statusOf(entry: EntryHandle): Promise<schema.operator.Status> {
    const answer = await fetch(`${entry.operatorUrl}${schema.operator.STATUS_PATH}`);
    return v.parse(schema.operator.statusSchema, await answer.json());
  }

  /** Waits until the given entries (default: all) are members and up to date within the staleness bound. */
  async waitUntilFresh(entries: readonly EntryHandle[] = this.entries): Promise<void> {
    await waitFor("entries that are members and up to date", async () => {
      const statuses = await Promise.all(entries.map((entry) => this.statusOf(entry)));
      return statuses.every(({ fresh, incarnation }) => fresh && incarnation !== null);
    });
  }

  /** Replaces the faults of the platform's store; without an argument, clears them. */
  async setStoreFaults(
    faults: v.InferInput<typeof platformFaults.faultsSchema> = {},
  ): Promise<void> {
    const answer = await fetch(`${this.platformUrl}/control/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
    if (!answer.ok) {
      throw new schema.errors.JackdawlinkError(
        `The platform rejected the faults: ${await answer.text()}`,
      );
    }
  }

  /** Drops the traffic from `from` to `to`, in one direction only; needs the fault proxy. */
  async cutLinks(from: readonly EntryHandle[], to: readonly EntryHandle[]): Promise<void> {
    await this.proxy.setFault({
      kind: "cut",
      routes: to.map(({ memberId }) => peerRoute(memberId)),
      clients: from.map(({ host }) => host),
    });
  }

  /** Cuts the connections of entries to the store; needs the fault proxy. */
  async cutStore(entries: readonly EntryHandle[]): Promise<void> {
    await this.proxy.setFault({
      kind: "cut",
      routes: entries.map(({ memberId }) => storeRoute(memberId)),
    });
  }

  /** Clears all faults of the fault proxy. */
  async healNetwork(): Promise<void> {
    const clients = this.entries.map(({ host }) => host);
    await this.proxy.setFault({ kind: "heal" });
    await this.proxy.setFault({ kind: "heal", clients });
  }

  /** Builds a witness from the records of all backend servers. */
  async witness(): Promise<Witness> {
    const clients = [...this.backendServers.values()];
    return new Witness(await Promise.all(clients.map((client) => client.record())));
  }

  /** Kills the remaining processes and removes the settings files. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    fs.rmSync(this.directory, { recursive: true, force: true });
  }

  async #startProxy(): Promise<void> {
    this.#proxyProgram = await this.processes.start("fault-proxy", {
      args: ["--address", "127.0.0.1:0"],
    });
    const address = String(this.#proxyProgram.ready?.["address"]);
    this.#proxy = new faultProxy.FaultProxyClient(address);
  }

  async #configureEntries(): Promise<void> {
    const { entryCount } = this.#options;
    for (let index = 0; index < entryCount; index += 1) {
      const host = hostOf(index);
      const [callers, operators, peers] = await freePorts(PORTS_PER_ENTRY, { host });
      await this.#configureEntry(index, {
        callers: callers!,
        operators: operators!,
        peers: peers!,
      });
    }
  }

  async #configureEntry(
    index: number,
    ports: { callers: number; operators: number; peers: number },
  ): Promise<void> {
    const { availabilityZones, entrySettings = {}, settingsOf, timing = {} } = this.#options;
    const memberId = `entry-${index + 1}`;
    const host = hostOf(index);
    const availabilityZone = availabilityZones[index % availabilityZones.length]!;
    const peerAddress = `${host}:${ports.peers}`;
    const storeAddress = await this.#routeTo(storeRoute(memberId), this.#platformAddress);
    const settings = {
      memberId,
      availabilityZone,
      callerAddress: `${host}:${ports.callers}`,
      operatorAddress: `${host}:${ports.operators}`,
      peerAddress,
      advertisedPeerAddress: await this.#routeTo(peerRoute(memberId), peerAddress),
      store: { url: `http://${storeAddress}` },
      timing,
      ...entrySettings,
      ...settingsOf?.(memberId),
    };
    const settingsFile = path.join(this.directory, `${memberId}.toml`);
    fs.writeFileSync(settingsFile, toml.stringify(settings));
    this.entries.push({
      memberId,
      host,
      availabilityZone,
      callerUrl: `http://${settings.callerAddress}`,
      operatorUrl: `http://${settings.operatorAddress}`,
      settingsFile,
      program: null as unknown as processes.ChildProgram,
    });
  }

  async #routeTo(name: string, target: string): Promise<string> {
    return this.#proxy === null ? target : await this.#proxy.addRoute({ name, target });
  }

  #cliSettingsFile(): string {
    return path.join(this.directory, "cli.toml");
  }

  #writeCliSettings(): void {
    const entries = this.entries.map(({ operatorUrl }) => new URL(operatorUrl).host);
    const settings = { store: { url: this.platformUrl }, entries };
    fs.writeFileSync(this.#cliSettingsFile(), toml.stringify(settings));
  }
}

function peerRoute(memberId: string): string {
  return `peer-${memberId}`;
}

function storeRoute(memberId: string): string {
  return `store-${memberId}`;
}

function hostOf(index: number): string {
  return `127.0.0.${FIRST_ENTRY_HOST_NUMBER + index}`;
}
