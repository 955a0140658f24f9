/**
 * Tracks the progress of maintenance waves, and stores it for the next owner. A wave is an operator's
 * request to maintain a set of VMs within a given time.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import * as storeKeys from "./store_keys.ts";

type VmView = policy.scheduling.vmView.VmView;

/** After an order, the list of VMs may show the previous state for this long. */
const LIST_LAG_MS = 800;

const doneSchema = v.object({ doneVms: v.array(v.string()) });

/**
 * Decodes the VMs that have completed a wave. An unreadable record counts as none: repeating a maintenance
 * order is harmless.
 */
export function decodeDoneVms(
  stored: { readonly key: string; readonly value: string },
): readonly string[] {
  return schema.fleet.parseRecord(doneSchema, stored).match(({ doneVms }) => doneVms, () => []);
}

/** A wave's progress, and what of it has been stored. */
interface WaveRecord {
  readonly wave: schema.scheduling.MaintenanceWave;
  readonly startedAtMs: number;
  readonly done: Set<string>;
  /** When each VM that is down got its maintenance order. */
  readonly down: Map<string, number>;
  storedDoneCount: number;
  /** The revision of the stored record, checked on each write so that a late write replaces nothing newer. */
  storedRevision: number;
  storedState: "active" | "complete" | undefined;
}

export interface WaveTrackerOptions {
  readonly store: ports.scheduling.SchedulingStore;
  readonly documents: ports.scheduling.Documents;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly holder: ports.scheduling.VmOrderHolder;
}

/** Tracks all waves that the operator has requested. */
export class WaveTracker {
  readonly #options: WaveTrackerOptions;
  readonly #waves = new Map<number, WaveRecord>();
  #listedVms: ReadonlySet<string> | undefined;
  #isStoring = false;
  #isStopped = false;

  constructor(options: WaveTrackerOptions) {
    this.#options = options;
  }

  /** Adds a wave with the VMs that are done according to the store; a known wave is left unchanged. */
  put(wave: schema.scheduling.MaintenanceWave, doneVms: readonly string[] | undefined): void {
    if (!this.#waves.has(wave.wave)) {
      this.#waves.set(wave.wave, {
        wave,
        startedAtMs: this.#options.clock.steadyMs(),
        done: new Set(doneVms),
        down: new Map(),
        storedDoneCount: doneVms?.length ?? 0,
        storedState: undefined,
        storedRevision: 0,
      });
      this.#options.log.info("Maintenance wave added", {
        wave: wave.wave,
        vms: wave.vms.length,
        done: doneVms?.length ?? 0,
        maxConcurrent: wave.maxConcurrent,
        durationMs: wave.durationMs,
      });
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** The waves that are not complete, with the VMs that are done and those that are down. */
  activeWaves(): {
    wave: schema.scheduling.MaintenanceWave;
    startedAtMs: number;
    done: Set<string>;
    down: Set<string>;
  }[] {
    return [...this.#waves.values()]
      .filter((record) => !this.#isComplete(record))
      .map((record) => ({ ...record, down: new Set(record.down.keys()) }));
  }

  /** The VMs of all waves that still need maintenance. */
  pendingVms(): Set<string> {
    return new Set(
      [...this.#waves.values()].flatMap(({ wave, done }) => wave.vms.filter((vm) => !done.has(vm))),
    );
  }

  /** Records that a VM has been ordered down for maintenance. */
  recordDown(wave: number, view: VmView): void {
    this.#waves.get(wave)?.down.set(view.vm, this.#options.clock.steadyMs());
  }

  /** Records that a maintenance order was not carried out. */
  clearDown(wave: number, vm: string): void {
    this.#waves.get(wave)?.down.delete(vm);
  }

  /** Records that the platform has accepted a VM's maintenance order. */
  recordDone(wave: number, vm: string): void {
    this.#waves.get(wave)?.done.add(vm);
  }

  /** Updates from the VM list which VMs are down, including VMs that a previous owner has ordered down. */
  recordVmStates(views: readonly VmView[]): void {
    const nowMs = this.#options.clock.steadyMs();
    this.#listedVms = new Set(views.map(({ vm }) => vm));
    for (const { wave, down } of this.#waves.values()) {
      const waveVms = new Set(wave.vms);
      for (const { vm, state, isUncertain } of views) {
        if (state === "upkeep" && waveVms.has(vm)) {
          down.set(vm, down.get(vm) ?? nowMs);
        } else if (
          state === "up" && !isUncertain && nowMs - (down.get(vm) ?? nowMs) > LIST_LAG_MS
        ) {
          down.delete(vm);
        }
      }
      for (const vm of down.keys()) {
        if (!this.#listedVms.has(vm)) {
          down.delete(vm);
        }
      }
    }
  }

  /** Stores the waves whose progress has changed, one write at a time. */
  async store(): Promise<void> {
    if (this.#isStoring || this.#listedVms === undefined) {
      return;
    }
    this.#isStoring = true;
    for (const record of this.#waves.values()) {
      await this.#storeWave(record);
    }
    this.#isStoring = false;
  }

  /** Whether all VMs of the wave are done; VMs that the platform no longer lists need no maintenance. */
  #isComplete({ wave, done }: WaveRecord): boolean {
    return wave.vms.every((vm) => done.has(vm) || this.#listedVms?.has(vm) === false);
  }

  async #storeWave(record: WaveRecord): Promise<void> {
    const { store, documents, log, holder } = this.#options;
    const state = this.#isComplete(record) ? "complete" : "active";
    const doneCount = record.done.size;
    if (this.#isStopped || (record.storedState === state && record.storedDoneCount === doneCount)) {
      return;
    }
    const answer = await store.transact({
      conditions: [
        { key: storeKeys.OWNER_KEY, revision: holder.fencingToken },
        { key: storeKeys.waveKey(record.wave.wave), revision: record.storedRevision },
      ],
      puts: [
        documents.waveStateItem(record.wave.wave, state),
        {
          key: storeKeys.waveKey(record.wave.wave),
          value: JSON.stringify({ doneVms: [...record.done] }),
        },
      ],
      removes: [],
    });
    if (answer.isOk() && answer.value.kind === "conflict") {
      // A write that got no response was carried out after all, or a previous owner has stored progress.
      const item = answer.value.items.find(({ key }) =>
        key === storeKeys.waveKey(record.wave.wave)
      );
      record.storedRevision = item?.revision ?? 0;
    }
    if (answer.isOk() && answer.value.kind === "done") {
      record.storedRevision = answer.value.revision;
      record.storedState = state;
      record.storedDoneCount = doneCount;
      log.info("Maintenance wave state stored", { wave: record.wave.wave, state, done: doneCount });
    }
  }
}
