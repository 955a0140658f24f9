/**
 * The VMs and workers of the stand-in platform, and a log of events: which operation took a VM out of
 * service, which requests a reboot cut off, and which VMs failed.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { VmModel, type VmSetup } from "./vm_model.ts";
import { TaskTable, type WorkerSetup } from "./task_table.ts";

export type { VmSetup } from "./vm_model.ts";

/** The initial fleet of the stand-in platform with its timing and faults. */
export interface FleetSetup {
  readonly vms?: readonly VmSetup[];
  readonly workers?: readonly WorkerSetup[];
  /** Maximum age of the state that a VM list shows. */
  readonly listLagMs?: number;
}

/** One event that the stand-in platform observed. */
export interface WitnessEvent {
  readonly atMs: number;
  readonly kind: string;
  readonly subject: string;
  readonly detail: string;
  /** The VMs that were not live right after the event. */
  readonly notLive: readonly string[];
}

/** Fractions of the maximum lag, used in turn, so that a later list may show an older state. */
const LAG_RATIOS: readonly number[] = [1, 0.3, 0.7];

/** Outcome of an action on a VM. */
export type ActionOutcome = "accepted" | "stale" | "unknown-vm";

/** The state of all VMs and workers. The caller passes the current time to each method. */
export class FleetModel {
  readonly events: WitnessEvent[] = [];
  readonly tasks: TaskTable;
  readonly #vms = new Map<string, VmModel>();
  readonly #listLagMs: number;
  #listCount = 0;

  constructor(setup: FleetSetup) {
    this.#listLagMs = setup.listLagMs ?? 0;
    this.tasks = new TaskTable(setup.workers ?? []);
    for (const vm of setup.vms ?? []) {
      this.#vms.set(vm.vm, new VmModel(vm));
    }
  }

  /** Advances to the given time and completes the drains, reboots and tasks that end by then. */
  advance(nowMs: number): void {
    this.tasks.advance(nowMs);
    for (const vm of this.#vms.values()) {
      vm.advance(nowMs, this.tasks.runningOn(vm.setup.vm));
    }
  }

  listVms(nowMs: number): readonly ports.platform.ListedVm[] {
    this.advance(nowMs);
    this.#listCount += 1;
    const lagRatio = LAG_RATIOS[this.#listCount % LAG_RATIOS.length] ?? 1;
    const atMs = nowMs - this.#listLagMs * lagRatio;
    return [...this.#vms.values()].map((vm) => vm.listedAt(atMs));
  }

  listWorkers(nowMs: number): readonly ports.platform.ListedWorker[] {
    this.advance(nowMs);
    return this.tasks.list((worker) => this.#workerState(worker));
  }

  /** Applies an action of an operation to a VM. */
  act(
    action: "drain" | "reboot" | "return",
    { vm, operationId, nowMs }: { vm: string; operationId: string; nowMs: number },
  ): ActionOutcome {
    this.advance(nowMs);
    const model = this.#vms.get(vm);
    if (model === undefined) {
      return "unknown-vm";
    }
    const running = model.running(nowMs) + this.tasks.runningOn(vm);
    const outcome = model.act(action, { operationId, nowMs });
    if (outcome.changed) {
      this.#recordEvent({
        nowMs,
        kind: action,
        subject: vm,
        detail: `${operationId} running ${running}`,
      });
    }
    if (outcome.changed && action === "reboot" && running > 0) {
      this.#recordEvent({ nowMs, kind: "cut", subject: vm, detail: `${running} were running` });
    }
    return outcome.accepted ? "accepted" : "stale";
  }

  /** Takes every VM of a rack down, as an unplanned failure does. */
  loseRack(place: { availabilityZone: string; rack: string; nowMs: number }): void {
    for (const vm of this.#vms.values()) {
      const { availabilityZone, rack } = vm.setup;
      if (availabilityZone === place.availabilityZone && rack === place.rack) {
        vm.setDown(true, place.nowMs);
        this.#recordEvent({ nowMs: place.nowMs, kind: "lost", subject: vm.setup.vm, detail: rack });
      }
    }
  }

  /** Brings a failed VM back. */
  restore(vm: string, nowMs: number): void {
    this.#vms.get(vm)?.setDown(false, nowMs);
  }

  /** The VMs that an operation took out of service and has not returned yet. */
  vmsUnderOperation(): readonly { readonly vm: string; readonly operationId: string }[] {
    return [...this.#vms.values()]
      .map((vm) => vm.listedAt(Number.POSITIVE_INFINITY))
      .filter((listed) => !listed.returned);
  }

  /** The VMs that are not live now. */
  notLive(): readonly string[] {
    return [...this.#vms.values()].filter((vm) => !vm.isLive()).map((vm) => vm.setup.vm);
  }

  #workerState(worker: string): ports.platform.ListedWorker["state"] {
    const vm = this.#vms.get(worker);
    if (vm === undefined || vm.isLive()) {
      return "live";
    }
    return vm.isDown() ? "down" : "leaving";
  }

  #recordEvent(
    { nowMs, kind, subject, detail }: {
      nowMs: number;
      kind: string;
      subject: string;
      detail: string;
    },
  ): void {
    this.events.push({ atMs: nowMs, kind, subject, detail, notLive: this.notLive() });
  }
}
