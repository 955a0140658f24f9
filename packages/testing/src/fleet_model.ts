/**
 * VMs and workers of the stand-in platform, and what they witness: which operation took which VM out
 * when, what was cut, and which task ran where.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { VmModel, type VmSetup } from "./vm_model.ts";
import { TaskTable, type WorkerSetup } from "./task_table.ts";

export type { VmSetup } from "./vm_model.ts";

/** The fleet that the stand-in platform starts with, and its times and faults. */
export interface FleetSetup {
  readonly vms?: readonly VmSetup[];
  readonly workers?: readonly WorkerSetup[];
  /** How far lists lag at most. */
  readonly listLagMs?: number;
}

/** One observation of the stand-in platform. */
export interface WitnessEvent {
  readonly atMs: number;
  readonly kind: string;
  readonly subject: string;
  readonly detail: string;
  /** The VMs that were not live just after the event. */
  readonly notLive: readonly string[];
}

/** Successive lists lag by these parts of the full lag, so that a later list may show an older state. */
const LAG_RATIOS: readonly number[] = [1, 0.3, 0.7];

/** How an action on a VM ended. */
export type ActionOutcome = "accepted" | "stale" | "unknown-vm";

/** The state of all VMs and workers. Time is given by the caller. */
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

  /** Lets time pass: drains, reboots and tasks come to their ends. */
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

  /** One of the three actions on a VM. */
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

  /** Loses every VM of a rack, without a plan. */
  loseRack(place: { availabilityZone: string; rack: string; nowMs: number }): void {
    for (const vm of this.#vms.values()) {
      const { availabilityZone, rack } = vm.setup;
      if (availabilityZone === place.availabilityZone && rack === place.rack) {
        vm.setDown(true, place.nowMs);
        this.#recordEvent({ nowMs: place.nowMs, kind: "lost", subject: vm.setup.vm, detail: rack });
      }
    }
  }

  /** Brings lost VMs back. */
  restore(vm: string, nowMs: number): void {
    this.#vms.get(vm)?.setDown(false, nowMs);
  }

  /** The VMs that an operation took out and has not returned. */
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
