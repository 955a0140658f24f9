/**
 * Runs maintenance waves: starts, pauses, resumes and finishes them, and reboots their VMs.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { Round } from "./round.ts";
import type { VmManager } from "./vm_manager.ts";

const URGENCY_RANK: Readonly<Record<schema.config.Urgency, number>> = {
  urgent: 0,
  normal: 1,
  background: 2,
};

/** Dependencies of a `WaveManager`. */
export interface WaveManagerOptions {
  readonly state: FleetState;
  readonly vms: VmManager;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
}

type NamedWave = readonly [string, schema.config.MaintenanceWave];

/** Keeps the states of waves and starts the operations on their VMs. */
export class WaveManager {
  readonly #options: WaveManagerOptions;

  constructor(options: WaveManagerOptions) {
    this.#options = options;
  }

  /** Takes the next step of each wave that this steward is assigned, urgent waves first. */
  async step(round: Round): Promise<void> {
    const waves = Object.entries(round.config.maintenanceWaves)
      .filter(([name]) => round.isAssigned(name))
      .sort(([, left], [, right]) => URGENCY_RANK[left.urgency] - URGENCY_RANK[right.urgency]);
    for (const wave of waves) {
      await this.#stepWave(wave, round);
    }
  }

  async #stepWave([name, wave]: NamedWave, round: Round): Promise<void> {
    const record = this.#options.state.waves.get(name);
    if (record === undefined || (record.state === "finished" && wave.state === "planned")) {
      await this.#startRun([name, wave], record);
      return;
    }
    const vms = this.#waveVmsOf([name, wave], { record, round });
    const change = policy.fleet.waveProgress.nextChange({
      wave,
      record,
      vms,
      limitsOf: (pool) => policy.fleet.budgets.limitsOfPool(round.config, pool),
    });
    if (change.kind !== "none") {
      await this.#write(this.#applyChange(record, { change, vms }));
    } else if (record.state === "running") {
      await this.#startNextVms([name, wave], { record, round });
    }
  }

  /**
   * Stores a new run of a wave. If a finished wave is planned again, its new run is paused until
   * the wave is set to running.
   */
  async #startRun(
    [name, wave]: NamedWave,
    previous: schema.fleet.WaveRecord | undefined,
  ): Promise<void> {
    if (previous === undefined && wave.state !== "running") {
      return;
    }
    const isPlanned = wave.state === "planned";
    await this.#write({
      wave: name,
      run: (previous?.run ?? 0) + 1,
      state: isPlanned ? "paused" : "running",
      pausedBy: isPlanned ? "operator" : undefined,
      reason: isPlanned ? "The wave is planned" : undefined,
      acknowledgedFailures: 0,
      startedAtMs: this.#options.clock.wallMs(),
    });
  }

  #applyChange(
    record: schema.fleet.WaveRecord,
    { change, vms }: {
      change: Exclude<policy.fleet.waveProgress.WaveChange, { kind: "none" }>;
      vms: readonly policy.fleet.waveProgress.WaveVm[];
    },
  ): schema.fleet.WaveRecord {
    const failures = policy.fleet.waveProgress.failedVms(vms).length;
    const handlers = {
      pause: () => ({
        state: "paused" as const,
        pausedBy: change.kind === "pause" ? change.by : undefined,
        reason: change.kind === "pause" ? change.reason : undefined,
      }),
      resume: () => ({
        state: "running" as const,
        pausedBy: undefined,
        reason: undefined,
        acknowledgedFailures: failures,
      }),
      finish: () => ({
        state: "finished" as const,
        finishedAtMs: this.#options.clock.wallMs(),
        reason: `${failures} of ${vms.length} VMs failed`,
      }),
    };
    return { ...record, ...handlers[change.kind]() };
  }

  async #write(record: schema.fleet.WaveRecord): Promise<void> {
    const written = await this.#options.state.commit({ waves: [record] });
    if (written.isOk() && written.value) {
      const { wave, run, state, reason } = record;
      this.#options.decisions.add("Wave changed", [wave], { run, state, reason });
    }
  }

  /** Reboots the next VMs that the budgets of the wave's pools allow. */
  async #startNextVms(
    [name, wave]: NamedWave,
    { record, round }: { record: schema.fleet.WaveRecord; round: Round },
  ): Promise<void> {
    const { state, vms, decisions } = this.#options;
    const candidates = this.#vmRecordsOf(wave)
      .filter((vm) => vm.operation === undefined && vm.waveResults[name]?.run !== record.run)
      .filter((vm) => round.listedVms.get(vm.vm)?.state === "live")
      .map((vm) => ({ ...vm, expectedDrainMs: round.listedVms.get(vm.vm)?.running ?? 0 }));
    const pools = new Map(wave.pools.map((pool) => [pool, {
      limits: policy.fleet.budgets.limitsOfPool(round.config, pool),
      unavailable: vms.unavailableVms(pool, round),
    }]));
    for (const { vm } of policy.fleet.waveOrder.selectNextVms(candidates, pools)) {
      const started = await vms.start({
        vm,
        kind: "reboot",
        reason: `Wave ${name}`,
        wave: { name, run: record.run },
        drainTimeoutMs: wave.drainTimeoutMs,
        maintenanceMs: wave.vmMaintenanceMs,
      }, round);
      if (started.isErr() && state.isStale) {
        decisions.add("Wave start put off", [name, vm], { reason: started.error.message });
        return;
      }
    }
  }

  #vmRecordsOf(wave: schema.config.MaintenanceWave): readonly schema.fleet.VmRecord[] {
    return wave.pools.flatMap((pool) => this.#options.state.vmsOfPool(pool));
  }

  #waveVmsOf(
    [name, wave]: NamedWave,
    { record, round }: { record: schema.fleet.WaveRecord; round: Round },
  ): readonly policy.fleet.waveProgress.WaveVm[] {
    return this.#vmRecordsOf(wave).map((vm) => {
      const result = vm.waveResults[name];
      const { operation } = vm;
      const isOfThisRun = operation?.wave?.name === name && operation.wave.run === record.run;
      return {
        ...vm,
        result: result?.run === record.run ? result.state : undefined,
        isLost: policy.fleet.losses.isConfirmedLost(vm, round.listedVms.get(vm.vm)),
        isFailing: isOfThisRun && operation.failure !== undefined,
      };
    });
  }
}
