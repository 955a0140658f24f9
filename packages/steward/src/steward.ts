/**
 * A steward: runs rounds of decisions over the fleet's records, delegated to one manager per area.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { DecisionLog } from "./decision_log.ts";
import { FleetState } from "./fleet_state.ts";
import { JobManager } from "./job_manager.ts";
import { PlacerElection } from "./placer_election.ts";
import { JobSegments } from "./job_segments.ts";
import { StewardMembership } from "./membership.ts";
import type { Round } from "./round.ts";
import { VmManager } from "./vm_manager.ts";
import { VmRegistry } from "./vm_registry.ts";
import { WaveManager } from "./wave_manager.ts";
import { WorkerManager } from "./worker_manager.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** The source of the configuration. */
export interface ConfigSource {
  /** Reads the newest configuration; an error while the store is unavailable. */
  read(): Promise<Result<schema.config.Config, JackdawlinkError>>;
}

/** Dependencies and settings of a `Steward`. */
export interface StewardOptions {
  readonly stewardId: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly store: ports.store.Store;
  readonly platform: ports.platform.Platform;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly configSource: ConfigSource;
  readonly leaseSeconds: number;
  readonly maxPlacementsPerRound: number;
  readonly markSettleMs: number;
  /** The longest time between two reads of the records, in case a watch event is lost. */
  readonly resyncMs?: number;
}

const DEFAULT_RESYNC_MS = 10_000;
/** The inputs of an older round are not used to answer requests. */
const MAX_ROUND_AGE_MS = 3_000;

/** Runs the rounds. The managers make the decisions. */
export class Steward {
  readonly decisions: DecisionLog;
  readonly state: FleetState;
  readonly vms: VmManager;
  readonly waves: WaveManager;
  readonly workers: WorkerManager;
  readonly jobs: JobManager;
  readonly #options: StewardOptions;
  readonly #membership: StewardMembership;
  readonly #registry: VmRegistry;
  readonly #stopWatches: readonly (() => void)[];
  #round: Round | undefined;
  #readAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: StewardOptions) {
    const { store, clock, log, platform, stewardId, incarnation } = options;
    this.#options = options;
    this.#membership = new StewardMembership(options);
    const decisions = new DecisionLog(clock, log);
    const state = new FleetState(store, log);
    this.decisions = decisions;
    this.state = state;
    this.vms = new VmManager({
      state,
      platform,
      clock,
      decisions,
      markSettleMs: options.markSettleMs,
    });
    this.#registry = new VmRegistry({ state, clock, decisions });
    this.waves = new WaveManager({ state, vms: this.vms, clock, decisions });
    this.workers = new WorkerManager({ state, clock, decisions });
    this.jobs = new JobManager({
      segments: new JobSegments(store, clock),
      placer: new PlacerElection(store, { stewardId, incarnation }),
      workers: this.workers,
      platform,
      clock,
      decisions,
      maxPlacementsPerRound: options.maxPlacementsPerRound,
    });
    this.#stopWatches = [
      store.watch(schema.storeKeys.FLEET_PREFIX, () => state.markStale()),
      store.watch(schema.storeKeys.JOB_PREFIX, () => this.jobs.markStale()),
    ];
  }

  /** The inputs of the last round; undefined if it failed or is too old, as after a long pause. */
  get round(): Round | undefined {
    const nowMs = this.#options.clock.nowMs();
    const isCurrent = this.#round !== undefined &&
      nowMs - this.#round.listedAtMs <= MAX_ROUND_AGE_MS;
    return isCurrent ? this.#round : undefined;
  }

  get stewards(): readonly string[] {
    return this.#membership.stewards;
  }

  /**
   * Runs one round. While the store is unavailable it decides nothing, and running tasks continue.
   */
  async runRound(): Promise<Result<void, JackdawlinkError>> {
    const round = await this.#startRound();
    if (round.isErr()) {
      this.#round = undefined;
      this.vms.restartSettleTimes();
      this.decisions.add("Round put off", ["steward"], { reason: round.error.message });
      return err(round.error);
    }
    this.#round = round.value;
    await this.#registry.step(round.value);
    await this.vms.step(round.value);
    await this.waves.step(round.value);
    await this.jobs.step(round.value);
    return round.map(() => undefined);
  }

  /** Stops the watches and removes this steward from the list of live stewards. */
  async stop(): Promise<void> {
    this.#stopWatches.forEach((stop) => stop());
    await this.#membership.leave();
  }

  async #startRound(): Promise<Result<Round, JackdawlinkError>> {
    const { clock, platform, configSource, stewardId } = this.#options;
    const joined = await this.#membership.refresh();
    if (joined.isErr()) {
      return err(joined.error);
    }
    const config = await configSource.read();
    if (config.isErr()) {
      return err(config.error);
    }
    const read = await this.#readState();
    if (read.isErr()) {
      return err(read.error);
    }
    const listedAtMs = clock.nowMs();
    const listed = await platform.listVms();
    return listed.map((vms) => ({
      config: config.value,
      listedVms: new Map(vms.map((vm) => [vm.vm, vm])),
      listedAtMs,
      isAssigned: (subject) =>
        policy.fleet.assignments.stewardFor(subject, this.#membership.stewards) === stewardId,
    }));
  }

  async #readState(): Promise<Result<void, JackdawlinkError>> {
    const { clock, resyncMs = DEFAULT_RESYNC_MS } = this.#options;
    if (clock.nowMs() - this.#readAtMs > resyncMs) {
      this.state.markStale();
      this.jobs.markStale();
    }
    if (!this.state.isStale) {
      return ok(undefined);
    }
    const nowMs = clock.nowMs();
    const read = await this.state.read();
    this.#readAtMs = read.isOk() ? nowMs : this.#readAtMs;
    return read;
  }
}
