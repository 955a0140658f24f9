/**
 * One VM of the stand-in platform.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** A VM with its times and faults. */
export interface VmSetup {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly rack: string;
  /** How long its requests run on after a drain began; a negative number means for ever. */
  readonly drainMs?: number;
  readonly rebootMs?: number;
  /** How long the VM stays down after a reboot that fails; absent for one that succeeds. */
  readonly failedForMs?: number;
}

const DEFAULT_DRAIN_MS = 20;
const DEFAULT_REBOOT_MS = 30;
/** Requests that run on a VM that is in service. */
const RUNNING_WHILE_LIVE = 4;
/** Older versions are dropped from the start of the list. */
const MAX_VERSIONS = 64;

/** The state of one VM, with its earlier versions for a list that lags. */
export class VmModel {
  readonly setup: VmSetup;
  #state: ports.platform.ListedVm["state"] = "live";
  #isLost = false;
  #operationId = "";
  #isReturned = true;
  #hasRebooted = false;
  #drainedAtMs = 0;
  #rebootEndsAtMs = 0;
  #versions: { atMs: number; listed: ports.platform.ListedVm }[] = [];

  constructor(setup: VmSetup) {
    this.setup = setup;
    this.#versions.push({ atMs: 0, listed: this.#listed(RUNNING_WHILE_LIVE) });
  }

  isLive(): boolean {
    return this.#state === "live" && !this.#isLost;
  }

  isDown(): boolean {
    return this.#isLost || this.#state === "down" || this.#state === "rebooting";
  }

  /** The requests that run on the VM itself, without tasks. */
  running(nowMs: number): number {
    const drainMs = this.setup.drainMs ?? DEFAULT_DRAIN_MS;
    if (this.isDown() || this.#hasRebooted) {
      return 0;
    }
    const isIdle = this.#state === "leaving" && drainMs >= 0 &&
      nowMs >= this.#drainedAtMs + drainMs;
    return isIdle ? 0 : RUNNING_WHILE_LIVE;
  }

  advance(nowMs: number, tasks: number): void {
    if (this.#state === "rebooting" && nowMs >= this.#rebootEndsAtMs) {
      this.#state = "leaving";
      this.#hasRebooted = true;
    }
    this.#record(nowMs, tasks);
  }

  setDown(isDown: boolean, nowMs: number): void {
    this.#isLost = isDown;
    this.#record(nowMs, 0);
  }

  /** Operations that were returned or are older than the latest are refused. */
  act(
    action: "drain" | "reboot" | "return",
    { operationId, nowMs }: { operationId: string; nowMs: number },
  ): { accepted: boolean; changed: boolean } {
    const isSame = operationId === this.#operationId;
    if (operationId < this.#operationId || (isSame && this.#isReturned && action !== "return")) {
      return { accepted: false, changed: false };
    }
    if (!isSame) {
      this.#operationId = operationId;
      this.#isReturned = false;
      this.#hasRebooted = false;
      this.#state = "leaving";
      this.#drainedAtMs = nowMs;
    }
    const changed = ACTIONS[action](this, nowMs) || (!isSame && action === "drain");
    this.#record(nowMs, 0);
    return { accepted: true, changed };
  }

  /** The list as it was at a time. */
  listedAt(atMs: number): ports.platform.ListedVm {
    const version = this.#versions.findLast((each) => each.atMs <= atMs) ?? this.#versions[0];
    return version?.listed ?? this.#listed(0);
  }

  /** Starts the reboot of the current operation, once. */
  startReboot(nowMs: number): boolean {
    if (this.#hasRebooted || this.#state === "rebooting") {
      return false;
    }
    this.#state = "rebooting";
    const rebootMs = this.setup.rebootMs ?? DEFAULT_REBOOT_MS;
    this.#rebootEndsAtMs = nowMs + rebootMs + (this.setup.failedForMs ?? 0);
    return true;
  }

  /** Ends the current operation. */
  endOperation(): boolean {
    const changed = !this.#isReturned;
    this.#isReturned = true;
    this.#state = this.#state === "rebooting" ? "rebooting" : "live";
    return changed;
  }

  #record(nowMs: number, tasks: number): void {
    const listed = this.#listed(this.running(nowMs) + tasks);
    const latest = this.#versions.at(-1);
    if (JSON.stringify(latest?.listed) === JSON.stringify(listed)) {
      return;
    }
    this.#versions.push({ atMs: nowMs, listed });
    this.#versions = this.#versions.slice(-MAX_VERSIONS);
  }

  #listed(running: number): ports.platform.ListedVm {
    return {
      vm: this.setup.vm,
      availabilityZone: this.setup.availabilityZone,
      rack: this.setup.rack,
      state: this.#isLost ? "down" : this.#state,
      running,
      operationId: this.#operationId,
      rebooted: this.#hasRebooted,
      returned: this.#isReturned,
    };
  }
}

/** What each action does beyond taking the operation over. */
const ACTIONS: Readonly<
  Record<"drain" | "reboot" | "return", (vm: VmModel, nowMs: number) => boolean>
> = {
  drain: () => false,
  reboot: (vm, nowMs) => vm.startReboot(nowMs),
  return: (vm) => vm.endOperation(),
};
